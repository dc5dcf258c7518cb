"""Service ``links``: one live link a peer, with greeting, heartbeats and redial."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from datetime import timedelta
from typing import Any, ClassVar, TypeVar

from eliot import log_message

from lavenderrun.codecs import WireCodec
from lavenderrun.kernel import SERVICES, Clock, Kernel, Timer
from lavenderrun.services._link import LinkState, PeerLink
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

REDIAL_FIRST = timedelta(milliseconds=100)
REDIAL_MOST = timedelta(seconds=2)

M = TypeVar("M", bound=Message)


class LinksService:
    """Dispatches messages between peers and the services of this host; see ``Links``."""

    needs: ClassVar[tuple[str, ...]] = ("transport",)

    def __init__(self, clock: Clock, hello: Hello, transport: Transport) -> None:
        self._clock = clock
        self._hello = hello
        self._transport = transport
        self._codec = WireCodec()
        self._handlers: dict[type[Message], list[Callable[[Any, Any], None]]] = {}
        self._watchers: list[tuple[Callable[[Link], None], Callable[[Link], None]]] = []
        self._links: dict[HostId, PeerLink] = {}
        self._all: dict[PeerLink, None] = {}
        self._kept: dict[str, PeerLink | None] = {}
        self._delays: dict[str, timedelta] = {}
        self._redials: dict[str, Timer] = {}
        self._current: Callable[[], DocumentVersion] = lambda: DocumentVersion(0)
        self._seen: Callable[[DocumentVersion, Link], None] | None = None
        self._load: Callable[[], LoadReport] | None = None
        self._leaving = False
        self._drained = False
        self._stopped = False

    def start(self) -> Any:
        """Accept links at this host's address."""
        return self._transport.listen(self._accept)

    def stop(self) -> None:
        """Close all links."""
        self._stopped = True
        for timer in self._redials.values():
            timer.cancel()
        for link in list(self._all):
            link.close("stopped")

    def subscribe(self, kind: type[M], handler: Callable[[Link, M], None]) -> None:
        """Call *handler* for each message of *kind*."""
        self._handlers.setdefault(kind, []).append(handler)

    def watch(self, up: Callable[[Link], None], down: Callable[[Link], None]) -> None:
        """Call *up* and *down* as links come and go."""
        self._watchers.append((up, down))

    def find(self, host: HostId) -> Link | None:
        """Return the live link to *host*."""
        return self._links.get(host)

    def list_live(self) -> Sequence[Link]:
        """Return all live links."""
        return list(self._links.values())

    def find_load(self, host: HostId) -> LoadReport | None:
        """Return the load last heard from *host*."""
        link = self._links.get(host)
        return link.heard_load if link else None

    def is_leaving(self, host: HostId) -> bool:
        """Tell whether *host* said that it takes no new work, or is not linked."""
        link = self._links.get(host)
        return link is None or link.leaving

    def set_peers(self, addresses: Collection[str]) -> None:
        """Dial these peers and redial them when lost; drop those no longer named."""
        for address in [kept for kept in self._kept if kept not in addresses]:
            self._drop(address)
        for address in sorted(addresses):
            if address not in self._kept:
                self._kept[address] = None
                self._dial(address)

    def bind_versions(
        self,
        current: Callable[[], DocumentVersion],
        seen: Callable[[DocumentVersion, Link], None],
    ) -> None:
        """Put *current* on every batch and report the version on each that arrives."""
        self._current = current
        self._seen = seen

    def bind_load(self, load: Callable[[], LoadReport]) -> None:
        """Put *load* on every heartbeat."""
        self._load = load

    def announce_leaving(self) -> None:
        """Tell all peers at once that this host takes no new work."""
        self._leaving = True
        for link in self._links.values():
            link.announce()

    def announce_draining(self, *, drained: bool) -> None:
        """Tell all peers whether this host takes no new work for a while."""
        self._drained = drained
        for link in self._links.values():
            link.announce()

    def set_greeting(self, hello: Hello) -> None:
        """Greet all peers anew; they dial again and learn what this host serves now."""
        self._hello = hello
        for link in list(self._all):
            link.close("greeting changed")

    # what links ask of their owner

    def greet(self) -> Hello:
        """Return this host's greeting."""
        return self._hello

    def version(self) -> DocumentVersion:
        """Return the document version in force."""
        return self._current()

    def find_own_load(self) -> LoadReport | None:
        """Return the load of the backend server beside this host."""
        return self._load() if self._load else None

    def is_stopping(self) -> bool:
        """Tell whether this host takes no new work."""
        return self._leaving or self._drained

    def up(self, link: PeerLink) -> None:
        """Take a greeted link; it replaces an older one to the same host."""
        host = link.peer.host
        older = self._links.get(host)
        if older is not None:
            older.close("replaced")
        self._links[host] = link
        self._delays.pop(link.address, None)
        self._log("links:up", "links: peer is up", link, "")
        for up, _ in self._watchers:
            up(link)

    def down(self, link: PeerLink, reason: str) -> None:
        """Take the end of a link and plan the redial."""
        self._all.pop(link, None)
        if link.address and link.address in self._kept:
            self._kept[link.address] = None
            self._plan_redial(link.address)
        if link.was_live and self._links.get(link.peer.host) is link:
            del self._links[link.peer.host]
        if link.was_live:
            self._log("links:down", "links: peer is down", link, reason)
            for _, down in self._watchers:
                down(link)

    def took(self, link: PeerLink, version: DocumentVersion, messages: list[Message]) -> None:
        """Hand each message of a batch to its subscribers."""
        if self._seen is not None:
            self._seen(version, link)
        for message in messages:
            if isinstance(message, Heartbeat) or link.state is LinkState.CLOSED:
                continue
            for handler in self._handlers.get(type(message), ()):
                handler(link, message)

    def _accept(self, pipe: Pipe) -> PipeHandler:
        return self._open(pipe, "")

    def _open(self, pipe: Pipe, address: str) -> PeerLink:
        link = PeerLink(pipe, self, self._clock, self._codec, address)
        self._all[link] = None
        return link

    def _dial(self, address: str) -> None:
        self._redials.pop(address, None)
        if address not in self._kept or self._stopped:
            return

        def attach(pipe: Pipe) -> PipeHandler:
            link = self._open(pipe, address)
            self._kept[address] = link
            return link

        self._transport.dial(address, attach)

    def _plan_redial(self, address: str) -> None:
        if self._stopped:
            return
        delay = self._delays.get(address, REDIAL_FIRST)
        self._delays[address] = min(delay * 2, REDIAL_MOST)
        self._redials[address] = self._clock.call_later(delay, self._dial, address)

    def _drop(self, address: str) -> None:
        link = self._kept.pop(address)
        self._delays.pop(address, None)
        timer = self._redials.pop(address, None)
        if timer is not None:
            timer.cancel()
        if link is not None:
            link.close("not named any more")

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
    """Make the service from the settings' greeting and the ``transport`` service."""
    transport = kernel.find("transport", Transport)
    return LinksService(kernel.clock, kernel.settings.hello(), transport)
