"""Choice of agents on an entry, with a log line and an event for each decision."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from datetime import timedelta

from eliot import log_message

from lavenderrun.decisions import (
    PLACEMENTS,
    PREFILL_PLACEMENTS,
    Candidate,
    CandidatePool,
    Choice,
    LinkBudget,
    PlacementRequirements,
    PrefillRequirements,
    PrefillTimeEstimator,
    PrefixIndex,
    RecentSends,
    count_free,
    count_kv_blocks,
)
from lavenderrun.kernel import Kernel
from lavenderrun.services._event_emitter import EventEmitter
from lavenderrun.services._policies import PolicyNames
from lavenderrun.types import (
    BackendRole,
    DataCentre,
    Document,
    HostId,
    Link,
    Links,
    LoadReport,
    ModelName,
    Prefilled,
    RequestId,
    Routed,
    ServiceGroup,
)

FREE_SEATS = 2
"""Free seats at another agent from which a waiting request moves there."""
SEAT_SECONDS = 2.0
"""Time that a seat is expected to be held, for the correction of lagging loads."""

CALL_SECONDS = 0.02
"""The same for a call to a plain service."""


@dataclass(frozen=True)
class Demand:
    """What a request asks of the agents.

    :param blocks: hashes of the prompt's whole blocks.
    """

    request: RequestId
    model: ModelName
    tokens: int
    max_tokens: int
    blocks: list[str]


@dataclass(frozen=True)
class PrefillChoice:
    """The prefill agent chosen.

    :param lead: until the export is expected at the decode agent, its queue included.
    :param hold: how long the prefill is held back for the link between the data centres.
    """

    link: Link
    lead: timedelta
    hold: timedelta


class AgentChooser:
    """Chooses agents over lagging loads; see :mod:`lavenderrun.decisions`."""

    def __init__(self, kernel: Kernel) -> None:
        policies = PolicyNames.from_kernel(kernel)
        self._clock = kernel.clock
        self._random = kernel.random_source
        self._links = kernel.find("links", Links)
        self._events = EventEmitter.from_kernel(kernel)
        self._place = PLACEMENTS.find(policies.placement)
        self._place_prefill = PREFILL_PLACEMENTS.find(policies.prefill)
        self._pools: dict[tuple[ServiceGroup, BackendRole], CandidatePool] = {}
        self._sends = RecentSends()
        self._told: dict[HostId, tuple[LoadReport, LoadReport | None]] = {}
        self._prefixes = PrefixIndex()
        self._budget = LinkBudget({})
        self._speed = PrefillTimeEstimator()

    def add_agent(self, link: Link) -> None:
        """Add an agent to its pool."""
        peer = link.peer
        if peer.group is not None and peer.backend_role is not None:
            self._pool(peer.group, peer.backend_role).add(peer.host, peer.data_centre)

    def remove_agent(self, link: Link) -> None:
        """Take an agent out; what was believed of it is forgotten."""
        peer = link.peer
        if peer.group is not None and peer.backend_role is not None:
            self._pool(peer.group, peer.backend_role).remove(peer.host)
        self._sends.forget(peer.host)
        self._told.pop(peer.host, None)
        if peer.backend_role is BackendRole.PREFILL:
            self._prefixes.forget(peer.host)

    def apply_document(self, document: Document) -> None:
        """Take the rates of the links."""
        rates = {(link.source, link.target): link.bytes_per_second for link in document.links}
        self._budget.set_rates(rates)

    def choose_decode(self, demand: Demand, tried: Collection[HostId]) -> Link | None:
        """Return the link to a decode agent, ``None`` when none fits."""
        pool = self._pool(ServiceGroup(demand.model), BackendRole.DECODE)
        need = PlacementRequirements(
            count_kv_blocks(demand.tokens + demand.max_tokens), frozenset(tried)
        )
        choice = self._place(pool, need, self._random)
        self._report(demand.request, choice, "decode")
        if choice.chosen is None:
            return None
        self._sends.note(choice.chosen, SEAT_SECONDS, self._clock.now())
        return self._links.find(choice.chosen)

    def find_free(self, demand: Demand, tried: Collection[HostId]) -> Link | None:
        """Return the link to a decode agent that is believed to have seats free now."""
        pool = self._pool(ServiceGroup(demand.model), BackendRole.DECODE)
        need = PlacementRequirements(
            count_kv_blocks(demand.tokens + demand.max_tokens), frozenset(tried)
        )
        choice = self._place(pool, need, self._random)
        index = None if choice.chosen is None else pool.find(choice.chosen)
        if index is None or count_free(pool[index]) < FREE_SEATS:
            return None
        candidate = pool[index]
        self._report(demand.request, choice, "decode")
        self._sends.note(candidate.host, SEAT_SECONDS, self._clock.now())
        return self._links.find(candidate.host)

    def choose_plain(
        self, request: RequestId, group: ServiceGroup, tried: Collection[HostId]
    ) -> Link | None:
        """Return the link to an agent of a plain service, ``None`` when none fits."""
        pool = self._pool(group, BackendRole.PLAIN)
        choice = self._place(pool, PlacementRequirements(0, frozenset(tried)), self._random)
        self._report(request, choice, "plain")
        if choice.chosen is None:
            return None
        self._sends.note(choice.chosen, CALL_SECONDS, self._clock.now())
        return self._links.find(choice.chosen)

    def choose_prefill(
        self, demand: Demand, target: DataCentre, tried: Collection[HostId], *, ask: bool = False
    ) -> PrefillChoice | None:
        """Return the prefill agent for a decode in *target*.

        :param ask: only the lead is wanted, nothing is sent.
        """
        now = self._clock.now()
        pool = self._pool(ServiceGroup(demand.model), BackendRole.PREFILL)
        cached = self._prefixes.estimate_cached(demand.blocks, now)

        def look_at_link(candidate: Candidate) -> tuple[timedelta, timedelta]:
            direction = (candidate.data_centre, target)
            duration = self._budget.estimate_duration(direction, demand.tokens, now)
            return self._budget.estimate_wait(direction, now), duration

        need = PrefillRequirements(
            demand.tokens, cached, self._speed.estimate, look_at_link, frozenset(tried)
        )
        choice = self._place_prefill(pool, need, self._random)
        link = None if choice.chosen is None else self._links.find(choice.chosen)
        if link is None:
            return None
        seconds = self._speed.estimate(demand.tokens, int(cached.get(link.peer.host, 0.0)))
        direction = (link.peer.data_centre, target)
        wait = self._budget.estimate_wait(direction, now)
        hold = max(timedelta(0), wait - timedelta(seconds=seconds))
        if not ask:
            self._report(demand.request, choice, "prefill")
            self._sends.note(link.peer.host, seconds, now)
            transfer = self._budget.estimate_duration(direction, demand.tokens, now)
            self._budget.reserve(direction, demand.tokens, now + choice.wait - transfer)
        return PrefillChoice(link, choice.wait, hold)

    def learn_transfer(
        self, source: Link | None, target: Link | None, tokens: int, took: timedelta | None
    ) -> None:
        """Take the time of a transfer, ``None`` for one that failed."""
        if source is not None and target is not None:
            direction = (source.peer.data_centre, target.peer.data_centre)
            self._budget.learn(direction, tokens, took, self._clock.now())

    def learn_prefill(self, demand: Demand, done: Prefilled, host: HostId) -> None:
        """Take what a finished prefill tells of the agent's cache and speed."""
        self._prefixes.learn(host, demand.blocks, done.cached, self._clock.now())
        self._speed.add(done.tokens, done.cached, done.took.total_seconds())

    def note_load(self, host: HostId, load: LoadReport | None) -> None:
        """Take a load that came with an answer; it counts until the next heartbeat."""
        if load is not None:
            self._told[host] = (load, self._links.find_load(host))

    def _pool(self, group: ServiceGroup, role: BackendRole) -> CandidatePool:
        pool = self._pools.get((group, role))
        if pool is None:
            pool = self._pools[(group, role)] = CandidatePool(self._look)
        return pool

    def _look(self, host: HostId, centre: DataCentre) -> Candidate:
        load = self._links.find_load(host)
        told = self._told.get(host)
        if told is not None and told[1] is load:
            load = told[0]
        sent, work = self._sends.find_unreported(host, load, self._clock.now())
        return Candidate(host, centre, load, self._links.is_leaving(host), sent, work)

    def _report(self, request: RequestId, choice: Choice, part: str) -> None:
        rejected = [each.host for each in choice.rejected]
        if choice.chosen is not None:
            self._events.emit(Routed(request, choice.chosen, rejected, part))
        log_message(
            "placement:chosen",
            text=f"placement: {part} agent chosen"
            if choice.chosen
            else f"placement: no {part} agent",
            request=request,
            chosen=choice.chosen or "",
            wait=choice.wait.total_seconds(),
            rejected={each.host: each.reason.value for each in choice.rejected},
        )
