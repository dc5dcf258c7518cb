"""Choice of the agent for a decode, a prefill or a plain call, with its log line and event."""

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

MIN_FREE_SLOTS = 2
"""Free decode slots that an agent must have before a waiting request moves to it."""
SLOT_HOLD_SECONDS = 2.0
"""Expected time that a request holds a decode slot; corrects load reports that lag behind."""

PLAIN_CALL_SECONDS = 0.02
"""Expected duration of a call to a plain service; corrects load reports that lag behind."""


@dataclass(frozen=True)
class Demand:
    """What a model request needs of the agents that run its next attempt.

    :param tokens: estimated tokens of the prompt and of the output delivered so far.
    :param max_tokens: output tokens that may still be generated.
    :param block_hashes: hashes of the prompt's whole blocks, for the prefix cache.
    """

    request: RequestId
    model: ModelName
    tokens: int
    max_tokens: int
    block_hashes: list[str]


@dataclass(frozen=True)
class PrefillChoice:
    """The prefill agent chosen for a decode.

    :param lead: expected time until the export is at the decode agent, with the time in the
        prefill agent's queue.
    :param delay: how long the prefill waits because the link between the data centres is busy.
    """

    link: Link
    lead: timedelta
    delay: timedelta


class AgentChooser:
    """Chooses agents by load reports that lag behind, corrected by what was sent to them since."""

    def __init__(self, kernel: Kernel) -> None:
        policies = PolicyNames.from_kernel(kernel)
        self._clock = kernel.clock
        self._random = kernel.random_source
        self._links = kernel.find("links", Links)
        self._events = EventEmitter.from_kernel(kernel)
        self._place = PLACEMENTS.find(policies.placement)
        self._place_prefill = PREFILL_PLACEMENTS.find(policies.prefill)
        self._pools: dict[tuple[ServiceGroup, BackendRole], CandidatePool] = {}
        self._recent_sends = RecentSends()
        self._fresh_loads: dict[HostId, tuple[LoadReport, LoadReport | None]] = {}
        self._prefixes = PrefixIndex()
        self._link_budget = LinkBudget({})
        self._prefill_times = PrefillTimeEstimator()

    def add_agent(self, link: Link) -> None:
        """Add the agent at the other end of *link* to the pool of its group and role."""
        peer = link.peer
        if peer.group is not None and peer.backend_role is not None:
            self._pool(peer.group, peer.backend_role).add(peer.host, peer.data_centre)

    def remove_agent(self, link: Link) -> None:
        """Remove the agent at the other end of *link* and all that is recorded of it."""
        peer = link.peer
        if peer.group is not None and peer.backend_role is not None:
            self._pool(peer.group, peer.backend_role).remove(peer.host)
        self._recent_sends.forget(peer.host)
        self._fresh_loads.pop(peer.host, None)
        if peer.backend_role is BackendRole.PREFILL:
            self._prefixes.forget(peer.host)

    def apply_document(self, document: Document) -> None:
        """Apply the link rates of a new document."""
        rates = {(link.source, link.target): link.bytes_per_second for link in document.links}
        self._link_budget.set_rates(rates)

    def choose_decode(self, demand: Demand, tried: Collection[HostId]) -> Link | None:
        """Return the link to the chosen decode agent, ``None`` when none fits."""
        pool = self._pool(ServiceGroup(demand.model), BackendRole.DECODE)
        requirements = PlacementRequirements(
            count_kv_blocks(demand.tokens + demand.max_tokens), frozenset(tried)
        )
        choice = self._place(pool, requirements, self._random)
        self._report_choice(demand.request, choice, "decode")
        if choice.chosen is None:
            return None
        self._recent_sends.note(choice.chosen, SLOT_HOLD_SECONDS, self._clock.now())
        return self._links.find(choice.chosen)

    def choose_free_decode(self, demand: Demand, tried: Collection[HostId]) -> Link | None:
        """Return the link to a decode agent believed to have free slots, else ``None``."""
        pool = self._pool(ServiceGroup(demand.model), BackendRole.DECODE)
        requirements = PlacementRequirements(
            count_kv_blocks(demand.tokens + demand.max_tokens), frozenset(tried)
        )
        choice = self._place(pool, requirements, self._random)
        index = None if choice.chosen is None else pool.find(choice.chosen)
        if index is None or count_free(pool[index]) < MIN_FREE_SLOTS:
            return None
        candidate = pool[index]
        self._report_choice(demand.request, choice, "decode")
        self._recent_sends.note(candidate.host, SLOT_HOLD_SECONDS, self._clock.now())
        return self._links.find(candidate.host)

    def choose_plain(
        self, request: RequestId, group: ServiceGroup, tried: Collection[HostId]
    ) -> Link | None:
        """Return the link to the chosen agent of a plain service, ``None`` when none fits."""
        pool = self._pool(group, BackendRole.PLAIN)
        choice = self._place(pool, PlacementRequirements(0, frozenset(tried)), self._random)
        self._report_choice(request, choice, "plain")
        if choice.chosen is None:
            return None
        self._recent_sends.note(choice.chosen, PLAIN_CALL_SECONDS, self._clock.now())
        return self._links.find(choice.chosen)

    def choose_prefill(
        self,
        demand: Demand,
        target: DataCentre,
        tried: Collection[HostId],
        *,
        dry_run: bool = False,
    ) -> PrefillChoice | None:
        """Return the prefill agent for a decode in *target*, ``None`` when none fits.

        :param target: data centre of the decode agent.
        :param dry_run: only estimate the lead: no event, no log line, no reservation.
        """
        now = self._clock.now()
        pool = self._pool(ServiceGroup(demand.model), BackendRole.PREFILL)
        cached = self._prefixes.estimate_cached(demand.block_hashes, now)

        def estimate_transfer(candidate: Candidate) -> tuple[timedelta, timedelta]:
            direction = (candidate.data_centre, target)
            duration = self._link_budget.estimate_duration(direction, demand.tokens, now)
            return self._link_budget.estimate_wait(direction, now), duration

        requirements = PrefillRequirements(
            demand.tokens, cached, self._prefill_times.estimate, estimate_transfer, frozenset(tried)
        )
        choice = self._place_prefill(pool, requirements, self._random)
        link = None if choice.chosen is None else self._links.find(choice.chosen)
        if link is None:
            if not dry_run:
                self._report_choice(demand.request, choice, "prefill")
            return None
        seconds = self._prefill_times.estimate(demand.tokens, int(cached.get(link.peer.host, 0.0)))
        direction = (link.peer.data_centre, target)
        wait = self._link_budget.estimate_wait(direction, now)
        delay = max(timedelta(0), wait - timedelta(seconds=seconds))
        if not dry_run:
            self._report_choice(demand.request, choice, "prefill")
            self._recent_sends.note(link.peer.host, seconds, now)
            transfer = self._link_budget.estimate_duration(direction, demand.tokens, now)
            self._link_budget.reserve(direction, demand.tokens, now + choice.wait - transfer)
        return PrefillChoice(link, choice.wait, delay)

    def record_transfer(
        self, source: Link | None, target: Link | None, tokens: int, took: timedelta | None
    ) -> None:
        """Record a transfer of KV cache for estimates of the link.

        :param took: its duration, ``None`` when it failed.
        """
        if source is not None and target is not None:
            direction = (source.peer.data_centre, target.peer.data_centre)
            self._link_budget.learn(direction, tokens, took, self._clock.now())

    def record_prefill(self, demand: Demand, done: Prefilled, host: HostId) -> None:
        """Record a finished prefill for estimates of the agent's prefix cache and speed."""
        self._prefixes.learn(host, demand.block_hashes, done.cached, self._clock.now())
        self._prefill_times.add(done.tokens, done.cached, done.took.total_seconds())

    def record_load(self, host: HostId, load: LoadReport | None) -> None:
        """Record a load report that came with an answer; it is used until the next heartbeat."""
        if load is not None:
            self._fresh_loads[host] = (load, self._links.find_load(host))

    def _pool(self, group: ServiceGroup, role: BackendRole) -> CandidatePool:
        pool = self._pools.get((group, role))
        if pool is None:
            pool = self._pools[(group, role)] = CandidatePool(self._make_candidate)
        return pool

    def _make_candidate(self, host: HostId, centre: DataCentre) -> Candidate:
        load = self._links.find_load(host)
        fresh = self._fresh_loads.get(host)
        if fresh is not None and fresh[1] is load:
            load = fresh[0]
        sent, work = self._recent_sends.find_unreported(host, load, self._clock.now())
        refuses = not self._links.may_take_work(host)
        return Candidate(host, centre, load, refuses, sent, work)

    def _report_choice(self, request: RequestId, choice: Choice, role: str) -> None:
        rejected = [each.host for each in choice.rejected]
        if choice.chosen is not None:
            self._events.emit(Routed(request, choice.chosen, rejected, role))
        log_message(
            "placement:chosen",
            text=f"placement: {role} agent chosen"
            if choice.chosen
            else f"placement: no {role} agent",
            request=request,
            chosen=choice.chosen or "",
            wait=choice.wait.total_seconds(),
            rejected={each.host: each.reason.value for each in choice.rejected},
        )
