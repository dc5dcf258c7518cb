"""Decode batch of the stand-in engine: all running decodes advance step by step together."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from lavenderrun.standins._engine_cache import KV_BLOCK_TOKENS
from lavenderrun.standins._fabric import ExportedCache, Transfer
from lavenderrun.standins._text import POISON_DECODE, TokenGenerator
from lavenderrun.types import RequestId, Step, StepError, TokenSink

if TYPE_CHECKING:
    from lavenderrun.standins._engine_model import EngineModel


class DecodeTask:
    """One decode of the stand-in engine; implements ``BackendTask``.

    :param sink: receives the offset of the first token, the tokens and the finish reason.
    """

    def __init__(
        self, batch: DecodeBatch, request: RequestId, max_tokens: int, sink: TokenSink
    ) -> None:
        self.request = request
        self.max_tokens = max_tokens
        self.transfer: Transfer | None = None
        self.generator: TokenGenerator | None = None
        self.text = ""
        self.kv_blocks = 0
        self.delivered = 0
        self._undelivered: list[str] = []
        self._batch = batch
        self._sink = sink
        self._done: Deferred[None] | None = Deferred(lambda _: self.cancel())
        # stays set after the end, when _done is None
        self._exposed_done = self._done

    @property
    def done(self) -> Deferred[None]:
        """Fires when the decode slot is free."""
        return self._exposed_done

    def cancel(self) -> None:
        """Stop the decode and free its slot and memory."""
        if self._done is not None:
            self._leave()
            self._end(None)

    def fail(self, error: StepError) -> None:
        """End the decode with *error*."""
        if self._done is not None:
            self._leave()
            self._end(error)

    def receive_cache(self, cache: ExportedCache | None, error: StepError | None) -> None:
        """Start to generate from the imported cache, or fail with the transfer's error."""
        self.transfer = None
        if cache is None:
            self.fail(error or StepError(Step.TRANSFER, "", "no cache"))
            return
        kv_blocks = -(-(cache.tokens + self.max_tokens) // KV_BLOCK_TOKENS)
        if not self._batch.join(self, cache.text, kv_blocks):
            self.fail(StepError(Step.DECODE, self._batch.address, "no memory is free"))

    def generate_token(self) -> bool:
        """Generate the next token into the buffer; return whether it is the last."""
        assert self.generator is not None
        self._undelivered.append(self.generator.write())
        return self.generator.finish is not None

    def deliver_tokens(self) -> int:
        """Send the buffered tokens to the sink and return their number."""
        generator, offset, tokens = self.generator, self.delivered, self._undelivered
        if generator is None or self._done is None:
            return 0
        self._undelivered = []
        self.delivered += len(tokens)
        finish = generator.finish
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
    """The batch of all decodes of one engine."""

    def __init__(self, engine: EngineModel) -> None:
        self._engine = engine
        self._members: dict[int, DecodeTask] = {}
        self._stepping = False

    @property
    def address(self) -> str:
        """The engine's address."""
        return self._engine.address

    @property
    def size(self) -> int:
        """Number of decodes that hold a decode slot."""
        return len(self._members)

    @property
    def is_full(self) -> bool:
        """Whether no decode slot is free."""
        return self.size >= self._engine.speed.slots

    def count_held_blocks(self) -> int:
        """Return the number of KV blocks that decodes hold."""
        return sum(member.kv_blocks for member in self._members.values())

    def admit(self, decoding: DecodeTask) -> None:
        """Give a decode its slot, before its KV cache has arrived."""
        self._members[id(decoding)] = decoding
        self._engine.record_load()

    def join(self, decoding: DecodeTask, text: str, kv_blocks: int) -> bool:
        """Include a decode in the batch's steps; return ``False`` if too few KV blocks are free.

        :param text: prompt whose KV cache was imported.
        """
        speed = self._engine.speed
        if kv_blocks > speed.kv_blocks - self._engine.held():
            return False
        decoding.kv_blocks = kv_blocks
        decoding.text = text
        decoding.generator = TokenGenerator(text, decoding.max_tokens, speed.mean_tokens)
        self._engine.record_load()
        self._schedule()
        return True

    def leave(self, decoding: DecodeTask) -> None:
        """Free a decode's slot and memory."""
        if self._members.pop(id(decoding), None) is not None:
            self._engine.record_load()

    def crash(self) -> None:
        """Fail all decodes with a crash error."""
        self._stepping = False
        error = self._engine.make_crash_error(Step.DECODE)
        for member in list(self._members.values()):
            member.fail(error)

    def _schedule(self) -> None:
        running = [member for member in self._members.values() if member.generator is not None]
        if self._stepping or not running:
            return
        self._stepping = True
        steps = self._generate_ahead(running)
        delay: timedelta = steps * self._engine.speed.compute_step_time(len(running))
        self._engine.call_later(delay, self._step, running)

    def _generate_ahead(self, running: list[DecodeTask]) -> int:
        """Generate tokens ahead; return the number of steps until the next delivery.

        The delivery is due at the first token or the end of any decode, or after the largest
        number of steps that one clock event may stand for.
        """
        fresh = any(member.delivered == 0 for member in running)
        for step in range(1, self._engine.speed.max_steps_per_event + 1):
            ended = [member.generate_token() for member in running]
            if fresh or any(ended):
                return step
        return self._engine.speed.max_steps_per_event

    def _step(self, running: list[DecodeTask]) -> None:
        self._stepping = False
        if any(POISON_DECODE in member.text for member in running):
            self._engine.crash()
            return
        for member in running:
            self._engine.generated_tokens += member.deliver_tokens()
        self._schedule()
