"""Service ``links``: one live link per peer, with greeting, heartbeats and redial."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from datetime import timedelta
from typing import Any, ClassVar, TypeVar

from eliot import log_message

from lavenderrun.codecs import WireCodec
from lavenderrun.http_server import describe_error
from lavenderrun.kernel import SERVICES, Clock, Kernel, Timer
from lavenderrun.services._peer_link import LinkState, PeerLink
from lavenderrun.services._wakes import WakesService
from lavenderrun.types import (
    DocumentVersion,
    Heartbeat,
    Hello,
    HostId,
    Link,
    LoadReport,
    Message,
    Pipe,
    PipeHandler,
    Transport,
)

REDIAL_DELAY_MIN = timedelta(milliseconds=100)
REDIAL_DELAY_MAX = timedelta(seconds=2)

M = TypeVar("M", bound=Message)


class LinksService:
    """Implements ``Links``: passes messages between peers and the services of this host.

    :ivar failed_messages: messages whose handling ended by an unexpected error.
    """

    needs: ClassVar[tuple[str, ...]] = ("transport", "wakes")

    def __init__(
        self, clock: Clock, hello: Hello, transport: Transport, wakes: WakesService
    ) -> None:
        self.failed_messages = 0
        self._clock = clock
        self._hello = hello
        self._transport = transport
        self._wakes = wakes
        self._codec = WireCodec()
        self._handlers: dict[type[Message], list[Callable[[Any, Any], None]]] = {}
        self._watchers: list[tuple[Callable[[Link], None], Callable[[Link], None]]] = []
        self._silence_watchers: list[Callable[[Link], None]] = []
        self._live_links: dict[HostId, PeerLink] = {}
        self._open_links: dict[PeerLink, None] = {}
        self._dialled: dict[str, PeerLink | None] = {}
        self._redial_delays: dict[str, timedelta] = {}
        self._redial_timers: dict[str, Timer] = {}
        self._read_version: Callable[[], DocumentVersion] = lambda: DocumentVersion(0)
        self._note_version: Callable[[DocumentVersion, Link], None] | None = None
        self._measure_load: Callable[[], LoadReport] | None = None
        self._leaving = False
        self._drained = False
        self._stopped = False

    def start(self) -> Any:
        """Accept links at this host's address."""
        self._wakes.watch(self._announce_wake)
        return self._transport.listen(self._accept_pipe)

    def stop(self) -> None:
        """Close all links."""
        self._stopped = True
        for timer in self._redial_timers.values():
            timer.cancel()
        for link in list(self._open_links):
            link.close("stopped")

    def subscribe(self, kind: type[M], handler: Callable[[Link, M], None]) -> None:
        """Call *handler* for each message of *kind*."""
        self._handlers.setdefault(kind, []).append(handler)

    def watch(self, up: Callable[[Link], None], down: Callable[[Link], None]) -> None:
        """Call *up* after the greeting on a new link and *down* when a link is lost or silent."""
        self._watchers.append((up, down))

    def watch_silence(self, silent: Callable[[Link], None]) -> None:
        """Call *silent* when the peer of a link may be lost; the link stays open for a while."""
        self._silence_watchers.append(silent)

    def find(self, host: HostId) -> Link | None:
        """Return the live link to *host*, ``None`` without one."""
        return self._live_links.get(host)

    def list_live(self) -> Sequence[Link]:
        """Return all live links."""
        return list(self._live_links.values())

    def find_load(self, host: HostId) -> LoadReport | None:
        """Return the load that *host* last reported, ``None`` without a report."""
        link = self._live_links.get(host)
        return link.last_load if link else None

    def is_leaving(self, host: HostId) -> bool:
        """Tell whether *host* accepts no new work or has no live link."""
        link = self._live_links.get(host)
        return link is None or link.leaving

    def may_take_work(self, host: HostId) -> bool:
        """Tell whether new work may be sent to *host*: no sign says that it would be lost."""
        link = self._live_links.get(host)
        if link is None or link.leaving or link.is_quiet:
            return False
        # after a suspension of this host the peer may have closed the link, which is not read yet
        return not self._wakes.is_settling()

    def set_peers(self, addresses: Collection[str]) -> None:
        """Dial these addresses and redial them when lost; drop those no longer listed."""
        for address in [dialled for dialled in self._dialled if dialled not in addresses]:
            self._drop_peer(address)
        for address in sorted(addresses):
            if address not in self._dialled:
                self._dialled[address] = None
                self._dial(address)

    def bind_versions(
        self,
        current: Callable[[], DocumentVersion],
        seen: Callable[[DocumentVersion, Link], None],
    ) -> None:
        """Send *current* with every batch and call *seen* with the version of each that arrives."""
        self._read_version = current
        self._note_version = seen

    def bind_load(self, load: Callable[[], LoadReport]) -> None:
        """Send *load* with every heartbeat."""
        self._measure_load = load

    def announce_leaving(self) -> None:
        """Tell all peers immediately that this host accepts no new work."""
        self._leaving = True
        for link in self._live_links.values():
            link.announce()

    def announce_draining(self, *, drained: bool) -> None:
        """Tell all peers immediately whether this host accepts no new work for a while."""
        self._drained = drained
        for link in self._live_links.values():
            link.announce()

    def set_greeting(self, hello: Hello) -> None:
        """Close all links, so that peers dial again and receive the new greeting."""
        self._hello = hello
        for link in list(self._open_links):
            link.close("greeting changed")

    # the methods of LinkOwner, which the links call

    def make_greeting(self) -> Hello:
        """Return this host's greeting."""
        return self._hello

    def find_version(self) -> DocumentVersion:
        """Return the document version in force."""
        return self._read_version()

    def find_own_load(self) -> LoadReport | None:
        """Return the load of the backend server beside this host, ``None`` without one."""
        return self._measure_load() if self._measure_load else None

    def measure_run_time(self) -> timedelta:
        """Return the time that this process ran, without suspensions."""
        return self._wakes.measure_run_time()

    def has_unread(self) -> bool:
        """Tell whether this process was late, so that what peers sent may not be read yet."""
        return self._wakes.has_unread()

    def is_stopping(self) -> bool:
        """Tell whether this host accepts no new work."""
        return self._leaving or self._drained

    def add_link(self, link: PeerLink) -> None:
        """Register a link whose greeting arrived; it replaces an older one to the same host."""
        host = link.peer.host
        older = self._live_links.get(host)
        if older is not None:
            older.close("replaced by a newer link")
        self._live_links[host] = link
        self._redial_delays.pop(link.address, None)
        self._log("links:up", "links: peer is up", link, "")
        for up, _ in self._watchers:
            self._run_handler(link, None, up, link)

    def remove_link(self, link: PeerLink, reason: str) -> None:
        """Remove a closed link and schedule the redial."""
        self._open_links.pop(link, None)
        if link.address and link.address in self._dialled:
            self._dialled[link.address] = None
            self._plan_redial(link.address)
        if link.was_live and self._live_links.get(link.peer.host) is link:
            del self._live_links[link.peer.host]
        if link.was_live:
            self._log("links:down", "links: peer is down", link, reason)
            for _, down in self._watchers:
                self._run_handler(link, None, down, link)

    def note_silent(self, link: PeerLink) -> None:
        """Tell the watchers that the peer of a live link may be lost."""
        if link.was_live:
            for silent in self._silence_watchers:
                silent(link)

    def dispatch_batch(
        self, link: PeerLink, version: DocumentVersion, messages: list[Message]
    ) -> None:
        """Pass each message of a batch to its subscribers."""
        if self._note_version is not None:
            self._run_handler(link, None, self._note_version, version, link)
        for message in messages:
            if isinstance(message, Heartbeat) or link.state is LinkState.CLOSED:
                continue
            for handler in self._handlers.get(type(message), ()):
                self._run_handler(link, message, handler, link, message)

    def _run_handler(
        self, link: PeerLink, message: Message | None, handler: Callable[..., None], *args: Any
    ) -> None:
        """Run a handler of what came over a link, so that its errors don't hit other handlers."""
        try:
            handler(*args)
        except Exception as error:
            self.failed_messages += 1
            log_message(
                "links:failed",
                text="links: handler failed with an unexpected error",
                kind=type(message).__name__ if message is not None else "link",
                request=getattr(message, "request", None),
                peer=link.peer.host,
                error=describe_error(error),
            )

    def _announce_wake(self) -> None:
        # peers have heard nothing for as long, and may be about to close
        for link in list(self._live_links.values()):
            link.announce()

    def _accept_pipe(self, pipe: Pipe) -> PipeHandler:
        return self._open_link(pipe, "")

    def _open_link(self, pipe: Pipe, address: str) -> PeerLink:
        link = PeerLink(pipe, self, self._clock, self._codec, address)
        self._open_links[link] = None
        return link

    def _dial(self, address: str) -> None:
        self._redial_timers.pop(address, None)
        if address not in self._dialled or self._stopped:
            return

        def attach(pipe: Pipe) -> PipeHandler:
            link = self._open_link(pipe, address)
            self._dialled[address] = link
            return link

        self._transport.dial(address, attach)

    def _plan_redial(self, address: str) -> None:
        if self._stopped:
            return
        delay = self._redial_delays.get(address, REDIAL_DELAY_MIN)
        self._redial_delays[address] = min(delay * 2, REDIAL_DELAY_MAX)
        self._redial_timers[address] = self._clock.call_later(delay, self._dial, address)

    def _drop_peer(self, address: str) -> None:
        link = self._dialled.pop(address)
        self._redial_delays.pop(address, None)
        timer = self._redial_timers.pop(address, None)
        if timer is not None:
            timer.cancel()
        if link is not None:
            link.close("no longer listed as a peer")

    def _log(self, kind: str, text: str, link: PeerLink, reason: str) -> None:
        log_message(
            kind,
            text=text,
            host=self._hello.host,
            peer=link.peer.host,
            boot=link.peer.boot,
            reason=reason,
        )


@SERVICES.register("links")
def make_links(kernel: Kernel) -> LinksService:
    """Make the service from the settings' greeting, ``transport`` and ``wakes``."""
    transport = kernel.find("transport", Transport)
    wakes = kernel.find("wakes", WakesService)
    return LinksService(kernel.clock, kernel.settings.hello(), transport, wakes)
