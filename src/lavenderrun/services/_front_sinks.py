"""Sinks that turn the router's answers into HTTP responses."""

from __future__ import annotations

from collections.abc import Callable

from eliot import log_message

from lavenderrun.codecs import DONE_EVENT, AnswerCodec, encode_error_event
from lavenderrun.http_server import RequestEnd
from lavenderrun.kernel import Clock
from lavenderrun.services._front_http import LEAVING_RETRY_AFTER, FrontRequest
from lavenderrun.services._front_output import CallerOutput
from lavenderrun.types import (
    FinishReason,
    FrontSettings,
    Outcome,
    PausableHandle,
    Refusal,
    Refused,
    RequestHandle,
    RequestId,
    Step,
    TracedHandle,
)

DRAIN_OVER = "the drain of this host is over"
EVENT_STREAM = [("Content-Type", "text/event-stream"), ("Cache-Control", "no-cache")]


def log_refusal(request: RequestId, refused: Refused) -> None:
    """Log that a request is refused."""
    log_message(
        "front:refused",
        text="front: request refused",
        request=request,
        refusal=refused.refusal.value,
        outcome=refused.outcome.value,
        step=refused.step.value,
        peer=refused.peer,
    )


class Sink:
    """Base of the sinks: one HTTP request, its output and the handle that cancels it."""

    def __init__(self, request: FrontRequest, settings: FrontSettings, clock: Clock) -> None:
        self._request = request
        self._handle: RequestHandle | None = None
        self._ended = False
        self._output = CallerOutput(
            request, settings, clock, on_lost=self._cancel_request, on_pause=self._set_slow
        )

    def notify_end(self, call: Callable[[], object]) -> None:
        """Run *call* once when the answer is complete or the connection is lost."""
        self._request.notifyFinish().addBoth(lambda _: call()).addErrback(lambda _: None)

    def attach(self, handle: RequestHandle) -> None:
        """Set the handle to cancel when the caller disconnects."""
        self._handle = handle

    def refuse(self, refused: Refused) -> None:
        """Send a refusal; an answer that has begun is ended visibly incomplete."""
        if self._ended:
            return
        log_refusal(self._request.id, refused)
        self._ended = True
        if self._request.startedWriting:
            self._end_incomplete(refused)
        else:
            self._request.clear_head()
            self._request.answer_refused(refused)

    def end_at_departure(self) -> None:
        """Answer a request that outlasts the drain with its true outcome, and cancel it."""
        if self._ended:
            return
        handle = self._handle
        outcome = handle.find_outcome() if isinstance(handle, TracedHandle) else Outcome.UNKNOWN
        retry_after = LEAVING_RETRY_AFTER if outcome is Outcome.NOT_RUN else None
        self.refuse(
            Refused(Refusal.LEAVING, outcome, Step.CALL, retry_after=retry_after, detail=DRAIN_OVER)
        )
        if handle is not None:
            handle.cancel()

    def _end_incomplete(self, refused: Refused) -> None:
        self._output.close_incomplete()

    def _cancel_request(self) -> None:
        if self._ended:
            return
        self._ended = True
        log_message(
            "front:caller_gone", text="front: caller disconnected", request=self._request.id
        )
        if self._handle is not None:
            self._handle.cancel()

    def _set_slow(self, slow: bool) -> None:
        if isinstance(self._handle, PausableHandle) and not self._ended:
            self._handle.pace(slow=slow)


class StreamSink(Sink):
    """Sends tokens as server-sent events.

    Tokens that arrive while the caller is slow are sent as one event when it reads again.
    """

    codec: AnswerCodec

    def __init__(self, request: FrontRequest, settings: FrontSettings, clock: Clock) -> None:
        super().__init__(request, settings, clock)
        self._held_tokens: list[str] = []

    def put_tokens(self, tokens: list[str]) -> None:
        """Send the next tokens, or keep them while the caller is slow."""
        if self._ended:
            return
        if not self._request.answered:
            self._request.put_head(200, EVENT_STREAM)
        if self._output.is_paused:
            self._held_tokens += tokens
            self._output.count_buffered(sum(map(len, tokens)))
        else:
            self._output.write(self.codec.encode_event("".join(tokens)))

    def finish(self, reason: FinishReason) -> None:
        """Send the last event and the ``[DONE]`` event."""
        if self._ended:
            return
        if not self._request.answered:
            self._request.put_head(200, EVENT_STREAM)
        text = "".join(self._held_tokens)
        self._output.write(self.codec.encode_event(text, reason) + DONE_EVENT)
        self._ended = True
        self._output.finish()

    def _set_slow(self, slow: bool) -> None:
        held_tokens, self._held_tokens = self._held_tokens, []
        if held_tokens:
            self._output.write(self.codec.encode_event("".join(held_tokens)))
        super()._set_slow(slow)

    def _end_incomplete(self, refused: Refused) -> None:
        self._request.channel.persistent = 0
        self._request.end_when_finished = RequestEnd.BROKEN_OFF
        self._output.write(encode_error_event(refused))
        self._output.finish()


class WholeSink(Sink):
    """Collects all tokens and sends one answer.

    :ivar prompt_tokens: estimated tokens of the prompt, for the ``usage`` of the answer.
    """

    codec: AnswerCodec
    prompt_tokens = 0

    def __init__(self, request: FrontRequest, settings: FrontSettings, clock: Clock) -> None:
        super().__init__(request, settings, clock)
        self._tokens: list[str] = []

    def put_tokens(self, tokens: list[str]) -> None:
        """Keep the next tokens; their number is bounded by the route's longest answer."""
        self._tokens.extend(tokens)

    def finish(self, reason: FinishReason) -> None:
        """Send the whole answer."""
        if self._ended:
            return
        self._ended = True
        text = "".join(self._tokens)
        body = self.codec.encode_whole(
            text, reason, prompt_tokens=self.prompt_tokens, tokens=len(self._tokens)
        )
        self._request.answer(200, body, [])


class PlainSink(Sink):
    """Forwards the reply of a plain service."""

    def put_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Set status and headers of the reply."""
        if not self._ended:
            self._request.put_head(status, headers)

    def put_body(self, data: bytes) -> None:
        """Send a part of the reply's body."""
        if not self._ended:
            self._output.write(data)

    def finish(self) -> None:
        """End the reply."""
        if not self._ended:
            self._ended = True
            self._output.finish()
