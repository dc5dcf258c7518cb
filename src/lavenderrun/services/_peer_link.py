"""One link to a peer over a pipe: greeting, batching and detection of a silent peer."""

from __future__ import annotations

from datetime import datetime, timedelta
from enum import Enum
from typing import Protocol

from lavenderrun.codecs import WireCodec, WireError
from lavenderrun.decisions import (
    SETTLE_TIME,
    LinkSilence,
    find_link_patience,
    find_silent_after,
    weigh_link_silence,
)
from lavenderrun.kernel import Clock
from lavenderrun.types import (
    DocumentState,
    DocumentStateRequest,
    DocumentVersion,
    Heartbeat,
    Hello,
    LoadReport,
    Message,
    Pipe,
)

BUSY_INTERVAL = timedelta(milliseconds=500)
IDLE_INTERVAL = timedelta(seconds=5)
IDLE_AFTER = timedelta(seconds=5)
GREETING_TIMEOUT = timedelta(seconds=2)
BACKGROUND_MESSAGES = (DocumentStateRequest, DocumentState)
"""Messages that don't keep a link busy: when one is lost, another peer is asked."""


class LinkState(Enum):
    """The states of a link; one waits for the peer's greeting before it is live."""

    GREETING = "greeting"
    LIVE = "live"
    CLOSED = "closed"


class LinkOwner(Protocol):
    """What :class:`PeerLink` needs of the service that owns it."""

    def make_greeting(self) -> Hello:
        """Return this host's greeting."""

    def find_version(self) -> DocumentVersion:
        """Return the document version in force."""

    def find_own_load(self) -> LoadReport | None:
        """Return the load of the backend server beside this host, ``None`` without one."""

    def measure_run_time(self) -> timedelta:
        """Return the time that this process ran, without suspensions."""

    def has_unread(self) -> bool:
        """Tell whether this process was late, so that what peers sent may not be read yet."""

    def is_stopping(self) -> bool:
        """Tell whether this host accepts no new work."""

    def add_link(self, link: PeerLink) -> None:
        """Register a link whose greeting arrived."""

    def remove_link(self, link: PeerLink, reason: str) -> None:
        """Handle the end of a link."""

    def note_silent(self, link: PeerLink) -> None:
        """Handle a peer that may be lost; its link stays open."""

    def dispatch_batch(
        self, link: PeerLink, version: DocumentVersion, messages: list[Message]
    ) -> None:
        """Handle one batch from a live link."""


class PeerLink:
    """A link to one peer; implements ``Link`` and ``PipeHandler``.

    Any traffic is a sign of life. A link in use sends a heartbeat every :data:`BUSY_INTERVAL`, an
    idle one every :data:`IDLE_INTERVAL`. Each heartbeat states the time until the next one, so that
    the peer can tell when silence means that the link is lost. Time in which this process was
    suspended is no silence of the peer, so deadlines are in the time that it ran.
    """

    def __init__(
        self, pipe: Pipe, owner: LinkOwner, clock: Clock, codec: WireCodec, address: str = ""
    ) -> None:
        self.address = address
        self.leaving = False
        self.last_load: LoadReport | None = None
        self._pipe = pipe
        self._owner = owner
        self._clock = clock
        self._codec = codec
        self._state = LinkState.GREETING
        self._peer: Hello | None = None
        self._queue: list[Message] = []
        self._flushing = False
        self._peer_interval = BUSY_INTERVAL
        self._last_used_at = clock.now()
        self._heard_at = owner.measure_run_time()
        self._promised = BUSY_INTERVAL
        self._is_silent = False
        self._is_suspect = False
        self._silence_timer = clock.call_later(GREETING_TIMEOUT, self._check_silence)
        self._heartbeat_timer = clock.call_later(BUSY_INTERVAL, self._send_heartbeat)
        self._enqueue(owner.make_greeting())

    @property
    def peer(self) -> Hello:
        """The peer's greeting."""
        assert self._peer is not None
        return self._peer

    @property
    def was_live(self) -> bool:
        """Whether the greeting ever arrived."""
        return self._peer is not None

    @property
    def state(self) -> LinkState:
        """The state of this link."""
        return self._state

    @property
    def is_quiet(self) -> bool:
        """Whether the peer has missed a heartbeat, so that it may be lost."""
        silence = self._owner.measure_run_time() - self._heard_at
        return weigh_link_silence(silence, self._promised) is not LinkSilence.NONE

    def send(self, message: Message) -> bool:
        """Queue a message for the next batch; return whether the link was still open."""
        if self._state is LinkState.CLOSED:
            return False
        if not isinstance(message, BACKGROUND_MESSAGES):
            now = self._clock.now()
            if now - self._last_used_at > IDLE_AFTER:
                self._leave_idle()
            self._last_used_at = now
        self._enqueue(message)
        return True

    def announce(self) -> None:
        """Send a heartbeat now instead of at the next interval."""
        if self._state is not LinkState.CLOSED:
            self._heartbeat_timer.cancel()
            self._send_heartbeat()

    def received(self, data: bytes) -> None:
        """Handle one encoded batch from the pipe."""
        if self._state is LinkState.CLOSED:
            return
        try:
            batch = self._codec.decode(data)
        except WireError as error:
            self.close(f"bad batch: {error}")
            return
        self._extend_deadline(batch.messages)
        messages = batch.messages
        if self._state is LinkState.GREETING:
            messages = self._handle_greeting(messages)
        if messages and self._state is LinkState.LIVE:
            self._owner.dispatch_batch(self, batch.version, messages)

    def closed(self, reason: str) -> None:
        """Handle the end of the pipe."""
        self.close(reason)

    def close(self, reason: str) -> None:
        """Close the link and drop the queued messages."""
        if self._state is LinkState.CLOSED:
            return
        self._state = LinkState.CLOSED
        self._silence_timer.cancel()
        self._heartbeat_timer.cancel()
        self._queue.clear()
        self._pipe.close()
        self._owner.remove_link(self, reason)

    def _leave_idle(self) -> None:
        # tell an idle peer to answer with busy heartbeats, so that a lost link is noticed soon
        self._enqueue(
            Heartbeat(BUSY_INTERVAL, self._owner.is_stopping(), self._owner.find_own_load())
        )
        self._heartbeat_timer.cancel()
        self._heartbeat_timer = self._clock.call_later(BUSY_INTERVAL, self._send_heartbeat)
        self._expect_sign(BUSY_INTERVAL)

    def _enqueue(self, message: Message) -> None:
        self._queue.append(message)
        if not self._flushing:
            self._flushing = True
            self._clock.call_later(timedelta(0), self._flush)

    def _flush(self) -> None:
        self._flushing = False
        if self._state is LinkState.CLOSED or not self._queue:
            return
        messages, self._queue = self._queue, []
        self._pipe.send(self._codec.encode(self._owner.find_version(), messages))

    def _handle_greeting(self, messages: list[Message]) -> list[Message]:
        if not messages or not isinstance(messages[0], Hello):
            self.close("no greeting in the first batch")
            return []
        self._peer = messages[0]
        self._state = LinkState.LIVE
        self._owner.add_link(self)
        return messages[1:]

    def _send_heartbeat(self) -> None:
        busy = self._clock.now() - self._last_used_at <= IDLE_AFTER
        interval = BUSY_INTERVAL if busy else IDLE_INTERVAL
        self._enqueue(Heartbeat(interval, self._owner.is_stopping(), self._owner.find_own_load()))
        self._heartbeat_timer = self._clock.call_later(interval, self._send_heartbeat)

    def _extend_deadline(self, messages: list[Message]) -> None:
        now = self._clock.now()
        interval = None
        for message in messages:
            if isinstance(message, Heartbeat):
                self._handle_heartbeat(message, now)
                interval = message.next_in
            elif not isinstance(message, BACKGROUND_MESSAGES):
                self._last_used_at = now
                interval = interval or BUSY_INTERVAL
        if interval is not None:
            self._expect_sign(interval)

    def _handle_heartbeat(self, heartbeat: Heartbeat, now: datetime) -> None:
        self.leaving = heartbeat.leaving
        if heartbeat.load is not None:
            self.last_load = heartbeat.load
        # a peer that was busy before must not wake this end: two ends would keep each other busy
        became_busy = heartbeat.next_in <= BUSY_INTERVAL < self._peer_interval
        self._peer_interval = heartbeat.next_in
        if became_busy and now - self._last_used_at > IDLE_AFTER:
            self._last_used_at = now
            self.announce()

    def _expect_sign(self, interval: timedelta) -> None:
        self._is_silent = self._is_suspect = False
        before = self._heard_at + find_link_patience(self._promised)
        self._heard_at, self._promised = self._owner.measure_run_time(), interval
        sooner = self._heard_at + find_link_patience(interval) < before
        if sooner:
            self._silence_timer.cancel()
            self._check_silence()

    def _check_silence(self) -> None:
        silence = self._owner.measure_run_time() - self._heard_at
        meaning = weigh_link_silence(silence, self._promised)
        if meaning is LinkSilence.LOST:
            self._suspect()
            return
        limit = find_silent_after(self._promised)
        if meaning is LinkSilence.SILENT:
            limit = find_link_patience(self._promised)
        self._silence_timer = self._clock.call_later(limit - silence, self._check_silence)
        if meaning is LinkSilence.SILENT and not self._is_silent and not self._owner.has_unread():
            self._is_silent = True
            self._owner.note_silent(self)

    def _suspect(self) -> None:
        if not self._owner.has_unread():
            self.close("silent")
            return
        # a sign of the peer may have come while this process was late
        self._is_suspect = True
        self._silence_timer = self._clock.call_later(SETTLE_TIME, self._confirm_silence)

    def _confirm_silence(self) -> None:
        if self._is_suspect:
            self.close("silent")
        else:
            self._check_silence()
