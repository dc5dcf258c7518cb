"""Where the router puts answers for HTTP callers."""

from __future__ import annotations

from collections.abc import Callable

from eliot import log_message

from lavenderrun.codecs import DONE_EVENT, AnswerCodec, encode_error_event
from lavenderrun.kernel import Clock
from lavenderrun.services._front_http import FrontRequest
from lavenderrun.services._front_output import Output
from lavenderrun.types import FinishReason, FrontSettings, PacedTicket, Refused, Ticket

EVENT_STREAM = [("Content-Type", "text/event-stream"), ("Cache-Control", "no-cache")]


class Sink:
    """Common part of the sinks: one request, its output and its ticket.

    :param done: called once when the request has ended, by whichever way.
    """

    def __init__(
        self,
        request: FrontRequest,
        settings: FrontSettings,
        clock: Clock,
        done: Callable[[], None],
    ) -> None:
        self._request = request
        self._ticket: Ticket | None = None
        self._ended = False
        self._done = done
        self._output = Output(request, settings, clock, lost=self._lose, pace=self._pace)

    def attach(self, ticket: Ticket) -> None:
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
        self._end()
        if self._request.answered:
            self._break(refused)
        else:
            self._request.answer_refused(refused)

    def _break(self, refused: Refused) -> None:
        self._output.cut()

    def _end(self) -> None:
        self._ended = True
        self._done()

    def _lose(self) -> None:
        if self._ended:
            return
        self._end()
        log_message("front:caller_gone", text="front: caller is gone", request=self._request.id)
        if self._ticket is not None:
            self._ticket.cancel()

    def _pace(self, slow: bool) -> None:
        if isinstance(self._ticket, PacedTicket) and not self._ended:
            self._ticket.pace(slow=slow)


class StreamSink(Sink):
    """Sends tokens as server-sent events."""

    codec: AnswerCodec

    def put_tokens(self, tokens: list[str]) -> None:
        """Send the next tokens."""
        if self._ended:
            return
        if not self._request.answered:
            self._request.put_head(200, EVENT_STREAM)
        self._output.write(self.codec.encode_event("".join(tokens)))

    def finish(self, reason: FinishReason) -> None:
        """Send the last event and the end mark."""
        if self._ended:
            return
        if not self._request.answered:
            self._request.put_head(200, EVENT_STREAM)
        self._output.write(self.codec.encode_event("", reason) + DONE_EVENT)
        self._end()
        self._output.finish()

    def _break(self, refused: Refused) -> None:
        self._request.channel.persistent = 0
        self._output.write(encode_error_event(refused))
        self._output.finish()


class WholeSink(Sink):
    """Collects the tokens and sends one answer."""

    codec: AnswerCodec

    def __init__(
        self,
        request: FrontRequest,
        settings: FrontSettings,
        clock: Clock,
        done: Callable[[], None],
    ) -> None:
        super().__init__(request, settings, clock, done)
        self._tokens: list[str] = []

    def put_tokens(self, tokens: list[str]) -> None:
        """Keep the next tokens; the route's longest answer bounds them."""
        self._tokens.extend(tokens)

    def finish(self, reason: FinishReason) -> None:
        """Send the answer."""
        if self._ended:
            return
        self._end()
        text = "".join(self._tokens)
        self._request.answer(200, self.codec.encode_whole(text, len(self._tokens), reason), [])


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
            self._end()
            self._output.finish()
