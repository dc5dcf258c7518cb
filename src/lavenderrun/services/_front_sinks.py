"""Where the router puts answers for HTTP callers."""

from __future__ import annotations

from eliot import log_message

from lavenderrun.codecs import DONE_EVENT, AnswerCodec, encode_error_event
from lavenderrun.kernel import Clock
from lavenderrun.services._front_http import FrontRequest
from lavenderrun.services._front_output import Output
from lavenderrun.types import FinishReason, FrontSettings, PausableHandle, Refused, RequestHandle

EVENT_STREAM = [("Content-Type", "text/event-stream"), ("Cache-Control", "no-cache")]


class Sink:
    """Common part of the sinks: one request, its output and its ticket."""

    def __init__(self, request: FrontRequest, settings: FrontSettings, clock: Clock) -> None:
        self._request = request
        self._ticket: RequestHandle | None = None
        self._ended = False
        self._output = Output(request, settings, clock, lost=self._lose, pace=self._pace)

    def attach(self, ticket: RequestHandle) -> None:
        """Take the ticket to cancel when the caller goes."""
        self._ticket = ticket

    def refuse(self, refused: Refused) -> None:
        """Send the refusal; a broken answer ends visibly."""
        if self._ended:
            return
        log_message(
            "front:refused",
            text="front: request refused",
            request=self._request.id,
            refusal=refused.refusal.value,
            outcome=refused.outcome.value,
            step=refused.step.value,
            peer=refused.peer,
        )
        self._ended = True
        if self._request.startedWriting:
            self._break(refused)
        else:
            self._request.clear_head()
            self._request.answer_refused(refused)

    def _break(self, refused: Refused) -> None:
        self._output.cut()

    def _lose(self) -> None:
        if self._ended:
            return
        self._ended = True
        log_message("front:caller_gone", text="front: caller is gone", request=self._request.id)
        if self._ticket is not None:
            self._ticket.cancel()

    def _pace(self, slow: bool) -> None:
        if isinstance(self._ticket, PausableHandle) and not self._ended:
            self._ticket.pace(slow=slow)


class StreamSink(Sink):
    """Sends tokens as server-sent events.

    What comes while the caller is slow goes out as one event when it reads again.
    """

    codec: AnswerCodec

    def __init__(self, request: FrontRequest, settings: FrontSettings, clock: Clock) -> None:
        super().__init__(request, settings, clock)
        self._held: list[str] = []

    def put_tokens(self, tokens: list[str]) -> None:
        """Send the next tokens."""
        if self._ended:
            return
        if not self._request.answered:
            self._request.put_head(200, EVENT_STREAM)
        if self._output.is_paused:
            self._held += tokens
            self._output.hold(sum(map(len, tokens)))
        else:
            self._output.write(self.codec.encode_event("".join(tokens)))

    def finish(self, reason: FinishReason) -> None:
        """Send the last event and the end mark."""
        if self._ended:
            return
        if not self._request.answered:
            self._request.put_head(200, EVENT_STREAM)
        text = "".join(self._held)
        self._output.write(self.codec.encode_event(text, reason) + DONE_EVENT)
        self._ended = True
        self._output.finish()

    def _pace(self, slow: bool) -> None:
        held, self._held = self._held, []
        if held:
            self._output.write(self.codec.encode_event("".join(held)))
        super()._pace(slow)

    def _break(self, refused: Refused) -> None:
        self._request.channel.persistent = 0
        self._output.write(encode_error_event(refused))
        self._output.finish()


class WholeSink(Sink):
    """Collects the tokens and sends one answer.

    :ivar prompt_tokens: for the answer's account of its use.
    """

    codec: AnswerCodec
    prompt_tokens = 0

    def __init__(self, request: FrontRequest, settings: FrontSettings, clock: Clock) -> None:
        super().__init__(request, settings, clock)
        self._tokens: list[str] = []

    def put_tokens(self, tokens: list[str]) -> None:
        """Keep the next tokens; the route's longest answer bounds them."""
        self._tokens.extend(tokens)

    def finish(self, reason: FinishReason) -> None:
        """Send the answer."""
        if self._ended:
            return
        self._ended = True
        text = "".join(self._tokens)
        body = self.codec.encode_whole(
            text, reason, prompt_tokens=self.prompt_tokens, tokens=len(self._tokens)
        )
        self._request.answer(200, body, [])


class PlainSink(Sink):
    """Passes a plain service's reply on."""

    def put_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Set status and headers."""
        if not self._ended:
            self._request.put_head(status, headers)

    def put_body(self, data: bytes) -> None:
        """Send a part of the body."""
        if not self._ended:
            self._output.write(data)

    def finish(self) -> None:
        """End the reply."""
        if not self._ended:
            self._ended = True
            self._output.finish()
