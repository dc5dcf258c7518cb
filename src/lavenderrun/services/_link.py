"""One link: greeting, batching and silence detection over a pipe."""

from __future__ import annotations

from datetime import datetime, timedelta
from enum import Enum
from typing import Protocol

from lavenderrun.codecs import WireCodec, WireError
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
BUSY_FOR = timedelta(seconds=5)
GREETING_TIMEOUT = timedelta(seconds=2)
SILENCE_FACTOR = 3
BACKGROUND = (DocumentStateRequest, DocumentState)
"""Messages that keep no link busy: a lost one is asked again of another peer."""


class LinkState(Enum):
    """Where a link is in its life."""

    GREETING = "greeting"
    LIVE = "live"
    CLOSED = "closed"


class LinkOwner(Protocol):
    """What a link needs of the service that owns it."""

    def greet(self) -> Hello:
        """Return this host's greeting."""

    def version(self) -> DocumentVersion:
        """Return the document version in force."""

    def find_own_load(self) -> LoadReport | None:
        """Return the load of the backend server beside this host."""

    def is_stopping(self) -> bool:
        """Tell whether this host takes no new work."""

    def up(self, link: PeerLink) -> None:
        """Take a link whose greeting arrived."""

    def down(self, link: PeerLink, reason: str) -> None:
        """Take the end of a link."""

    def took(self, link: PeerLink, version: DocumentVersion, messages: list[Message]) -> None:
        """Take one batch from a live link."""


class PeerLink:
    """A link to one peer; implements the ``Link`` interface.

    Any traffic is a sign of life. A link in use sends a heartbeat every :data:`BUSY_INTERVAL`, an
    idle one every :data:`IDLE_INTERVAL`; the interval rides on the heartbeat, so that the peer
    knows when silence means loss.
    """

    def __init__(
        self, pipe: Pipe, owner: LinkOwner, clock: Clock, codec: WireCodec, address: str = ""
    ) -> None:
        self.address = address
        self.leaving = False
        self.heard_load: LoadReport | None = None
        self._pipe = pipe
        self._owner = owner
        self._clock = clock
        self._codec = codec
        self._state = LinkState.GREETING
        self._peer: Hello | None = None
        self._queue: list[Message] = []
        self._flushing = False
        self._peer_interval = BUSY_INTERVAL
        self._used_at = clock.now()
        self._deadline = self._used_at + GREETING_TIMEOUT
        self._watch = clock.call_later(GREETING_TIMEOUT, self._check_silence)
        self._beat = clock.call_later(BUSY_INTERVAL, self._send_heartbeat)
        self._put(owner.greet())

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
        """Where this link is in its life."""
        return self._state

    def send(self, message: Message) -> bool:
        """Queue a message for the next flush; see ``Link``."""
        if self._state is LinkState.CLOSED:
            return False
        if not isinstance(message, BACKGROUND):
            now = self._clock.now()
            if now - self._used_at > BUSY_FOR:
                self._wake(now)
            self._used_at = now
        self._put(message)
        return True

    def announce(self) -> None:
        """Send a heartbeat now."""
        if self._state is not LinkState.CLOSED:
            self._beat.cancel()
            self._send_heartbeat()

    def received(self, data: bytes) -> None:
        """Take one encoded batch from the pipe."""
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
            messages = self._take_greeting(messages)
        if messages and self._state is LinkState.LIVE:
            self._owner.took(self, batch.version, messages)

    def closed(self, reason: str) -> None:
        """Take the end of the pipe."""
        self.close(reason)

    def close(self, reason: str) -> None:
        """End the link and forget what was queued."""
        if self._state is LinkState.CLOSED:
            return
        self._state = LinkState.CLOSED
        self._watch.cancel()
        self._beat.cancel()
        self._queue.clear()
        self._pipe.close()
        self._owner.down(self, reason)

    def _wake(self, now: datetime) -> None:
        # the first message after an idle time must not wait for an idle peer's next heartbeat
        self._put(Heartbeat(BUSY_INTERVAL, self._owner.is_stopping(), self._owner.find_own_load()))
        self._beat.cancel()
        self._beat = self._clock.call_later(BUSY_INTERVAL, self._send_heartbeat)
        self._set_deadline(now + BUSY_INTERVAL * SILENCE_FACTOR)

    def _put(self, message: Message) -> None:
        self._queue.append(message)
        if not self._flushing:
            self._flushing = True
            self._clock.call_later(timedelta(0), self._flush)

    def _flush(self) -> None:
        self._flushing = False
        if self._state is LinkState.CLOSED or not self._queue:
            return
        messages, self._queue = self._queue, []
        self._pipe.send(self._codec.encode(self._owner.version(), messages))

    def _take_greeting(self, messages: list[Message]) -> list[Message]:
        if not messages or not isinstance(messages[0], Hello):
            self.close("no greeting")
            return []
        self._peer = messages[0]
        self._state = LinkState.LIVE
        self._owner.up(self)
        return messages[1:]

    def _send_heartbeat(self) -> None:
        busy = self._clock.now() - self._used_at <= BUSY_FOR
        interval = BUSY_INTERVAL if busy else IDLE_INTERVAL
        self._put(Heartbeat(interval, self._owner.is_stopping(), self._owner.find_own_load()))
        self._beat = self._clock.call_later(interval, self._send_heartbeat)

    def _extend_deadline(self, messages: list[Message]) -> None:
        now = self._clock.now()
        interval = None
        for message in messages:
            if isinstance(message, Heartbeat):
                self._take_heartbeat(message, now)
                interval = message.next_in
            elif not isinstance(message, BACKGROUND):
                self._used_at = now
                interval = interval or BUSY_INTERVAL
        if interval is not None:
            self._set_deadline(now + interval * SILENCE_FACTOR)

    def _take_heartbeat(self, beat: Heartbeat, now: datetime) -> None:
        self.leaving = beat.leaving
        if beat.load is not None:
            self.heard_load = beat.load
        # a peer's last busy heartbeats must not wake this end, which would wake the peer for ever
        woke = beat.next_in <= BUSY_INTERVAL < self._peer_interval
        self._peer_interval = beat.next_in
        if woke and now - self._used_at > BUSY_FOR:
            self._used_at = now
            self.announce()

    def _set_deadline(self, deadline: datetime) -> None:
        sooner = deadline < self._deadline
        self._deadline = deadline
        if sooner:
            self._watch.cancel()
            self._check_silence()

    def _check_silence(self) -> None:
        left = self._deadline - self._clock.now()
        if left <= timedelta(0):
            self.close("silent")
            return
        self._watch = self._clock.call_later(left, self._check_silence)
