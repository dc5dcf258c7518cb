"""The answer of one model request, put together from the frames of all its attempts."""

from __future__ import annotations

from lavenderrun.decisions import AnswerAssembly, AnswerProgress
from lavenderrun.types import Ack, AnswerSink, AttemptId, Frame, ModelRequest

ACK_INTERVAL_TOKENS = 64
"""Delivered tokens after which an acknowledgement is due."""


class ModelAnswer:
    """Orders and deduplicates tokens, passes them to the sink and makes acknowledgements."""

    def __init__(self, request: ModelRequest, sink: AnswerSink) -> None:
        self._request = request
        self._sink = sink
        self._assembly = AnswerAssembly()
        self._delivered_tokens: list[str] = []
        self._acked_offset = 0

    @property
    def offset(self) -> int:
        """Number of tokens delivered to the sink."""
        return self._assembly.offset

    @property
    def text(self) -> str:
        """The prompt and the delivered output, from which a further attempt continues."""
        return self._request.prompt + "".join(self._delivered_tokens)

    @property
    def is_ack_due(self) -> bool:
        """Whether at least :data:`ACK_INTERVAL_TOKENS` delivered tokens are not acknowledged."""
        return self.offset - self._acked_offset >= ACK_INTERVAL_TOKENS

    def begin_attempt(self, attempt: AttemptId) -> None:
        """Accept only frames of *attempt* from now on."""
        self._assembly.begin(attempt)

    def take_frame(self, frame: Frame) -> AnswerProgress:
        """Pass the new tokens of a frame to the sink, and return the progress."""
        progress = self._assembly.accept(frame.attempt, frame.offset, frame.tokens, frame.finish)
        if progress.tokens:
            self._delivered_tokens += progress.tokens
            self._sink.put_tokens(progress.tokens)
        return progress

    def make_ack(self, attempt: AttemptId, *, end: int = 0) -> Ack:
        """Return the acknowledgement of all delivered tokens.

        :param end: 1 to acknowledge the end of the answer as well, which counts as one more token.
        """
        self._acked_offset = self.offset + end
        return Ack(self._request.request, attempt, self._acked_offset)
