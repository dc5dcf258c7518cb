"""The answer of one model request over all its attempts, on its way to the caller."""

from __future__ import annotations

from lavenderrun.decisions import AnswerAssembly, AnswerProgress
from lavenderrun.types import Ack, AnswerSink, AttemptId, Frame, ModelRequest

ACK_TOKENS = 64


class ModelAnswer:
    """Tokens put in order, handed to the sink, and acknowledged now and then."""

    def __init__(self, request: ModelRequest, sink: AnswerSink) -> None:
        self._request = request
        self._sink = sink
        self._assembly = AnswerAssembly()
        self._delivered: list[str] = []
        self._acked = 0

    @property
    def offset(self) -> int:
        """Tokens delivered so far."""
        return self._assembly.offset

    @property
    def text(self) -> str:
        """The prompt and what was delivered; a further attempt goes on from it."""
        return self._request.prompt + "".join(self._delivered)

    @property
    def is_ack_due(self) -> bool:
        """Whether the agent keeps more than :data:`ACK_TOKENS` that are delivered."""
        return self.offset - self._acked >= ACK_TOKENS

    def begin(self, attempt: AttemptId) -> None:
        """Take frames of *attempt* from now on."""
        self._assembly.begin(attempt)

    def take(self, frame: Frame) -> AnswerProgress:
        """Take one frame and hand its new tokens to the sink."""
        progress = self._assembly.accept(frame.attempt, frame.offset, frame.tokens, frame.finish)
        if progress.tokens:
            self._delivered += progress.tokens
            self._sink.put_tokens(progress.tokens)
        return progress

    def make_ack(self, attempt: AttemptId, *, end: int = 0) -> Ack:
        """Return the acknowledgement of all delivered tokens; the end counts as one more."""
        self._acked = self.offset + end
        return Ack(self._request.request, attempt, self._acked)
