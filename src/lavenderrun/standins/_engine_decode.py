"""The stand-in engine's running decodes, advanced together step by step."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from lavenderrun.standins._engine_cache import KV_BLOCK_TOKENS
from lavenderrun.standins._fabric import Cache, Transfer
from lavenderrun.standins._text import POISON_DECODE, Writer
from lavenderrun.types import RequestId, Step, StepError, TokenSink

if TYPE_CHECKING:
    from lavenderrun.standins._engine_model import EngineModel


class Decoding:
    """One decode; implements the ``BackendTask`` port."""

    def __init__(
        self, batch: DecodeBatch, request: RequestId, max_tokens: int, sink: TokenSink
    ) -> None:
        self.request = request
        self.max_tokens = max_tokens
        self.transfer: Transfer | None = None
        self.writer: Writer | None = None
        self.text = ""
        self.pieces = 0
        self.written = 0
        self._ready: list[str] = []
        self._batch = batch
        self._sink = sink
        self._done: Deferred[None] | None = Deferred(lambda _: self.cancel())
        self._public = self._done

    @property
    def done(self) -> Deferred[None]:
        """Fires when the seat is free."""
        return self._public

    def cancel(self) -> None:
        """Stop and free the memory."""
        if self._done is not None:
            self._leave()
            self._end(None)

    def fail(self, error: StepError) -> None:
        """End with *error*."""
        if self._done is not None:
            self._leave()
            self._end(error)

    def take_cache(self, cache: Cache | None, error: StepError | None) -> None:
        """Begin to generate from the imported cache."""
        self.transfer = None
        if cache is None:
            self.fail(error or StepError(Step.TRANSFER, "", "no cache"))
            return
        pieces = -(-(cache.tokens + self.max_tokens) // KV_BLOCK_TOKENS)
        if not self._batch.join(self, cache.text, pieces):
            self.fail(StepError(Step.DECODE, self._batch.address, "no memory is free"))

    def prepare(self) -> bool:
        """Generate the next token and keep it; return whether it is the last."""
        assert self.writer is not None
        self._ready.append(self.writer.write())
        return self.writer.finish is not None

    def deliver(self) -> int:
        """Hand the prepared tokens on and return how many there were."""
        writer, offset, tokens = self.writer, self.written, self._ready
        if writer is None or self._done is None:
            return 0
        self._ready = []
        self.written += len(tokens)
        finish = writer.finish
        if finish is not None:
            self._leave()
        self._sink(offset, tokens, finish)
        if finish is not None:
            self._end(None)
        return len(tokens)

    def _leave(self) -> None:
        if self.transfer is not None:
            self.transfer.cancel()
            self.transfer = None
        self._batch.leave(self)

    def _end(self, error: StepError | None) -> None:
        done, self._done = self._done, None
        if done is None or done.called:
            return
        if error is None:
            done.callback(None)
        else:
            done.errback(error)


class DecodeBatch:
    """All decodes of one engine.

    :param engine: gives speed, time and memory.
    """

    def __init__(self, engine: EngineModel) -> None:
        self._engine = engine
        self._members: dict[int, Decoding] = {}
        self._stepping = False

    @property
    def address(self) -> str:
        """The engine's address."""
        return self._engine.address

    @property
    def size(self) -> int:
        """Decodes that hold a seat."""
        return len(self._members)

    @property
    def is_full(self) -> bool:
        """Whether no seat is free."""
        return self.size >= self._engine.speed.slots

    def held(self) -> int:
        """Return the pieces that decodes hold."""
        return sum(member.pieces for member in self._members.values())

    def admit(self, decoding: Decoding) -> None:
        """Give a decode its seat."""
        self._members[id(decoding)] = decoding
        self._engine.note_load()

    def join(self, decoding: Decoding, text: str, pieces: int) -> bool:
        """Start to step a decode; return ``False`` when its memory is not free."""
        speed = self._engine.speed
        if pieces > speed.kv_blocks - self._engine.held():
            return False
        decoding.pieces = pieces
        decoding.text = text
        decoding.writer = Writer(text, decoding.max_tokens, speed.mean_tokens)
        self._engine.note_load()
        self._schedule()
        return True

    def leave(self, decoding: Decoding) -> None:
        """Free a decode's seat and memory."""
        if self._members.pop(id(decoding), None) is not None:
            self._engine.note_load()

    def crash(self) -> None:
        """Fail all decodes."""
        self._stepping = False
        error = self._engine.crash_error(Step.DECODE)
        for member in list(self._members.values()):
            member.fail(error)

    def _schedule(self) -> None:
        running = [member for member in self._members.values() if member.writer is not None]
        if self._stepping or not running:
            return
        self._stepping = True
        steps = self._prepare(running)
        delay: timedelta = steps * self._engine.speed.time_step(len(running))
        self._engine.call_later(delay, self._step, running)

    def _prepare(self, running: list[Decoding]) -> int:
        """Generate ahead and return the steps until a first token or an end has to be seen."""
        fresh = any(member.written == 0 for member in running)
        for step in range(1, self._engine.speed.burst + 1):
            ended = [member.prepare() for member in running]
            if fresh or any(ended):
                return step
        return self._engine.speed.burst

    def _step(self, running: list[Decoding]) -> None:
        self._stepping = False
        if any(POISON_DECODE in member.text for member in running):
            self._engine.crash()
            return
        for member in running:
            self._engine.generated_tokens += member.deliver()
        self._schedule()
