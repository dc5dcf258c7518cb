"""Service ``view``: fleet-wide quotas, decode slots, health and retry budget, as known here."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from datetime import datetime, timedelta
from itertools import islice
from typing import Any, ClassVar

from lavenderrun.dispatch import (
    ARRIVAL_WINDOW,
    DEFAULT_HOLD_POLICY,
    DEFAULT_REJECTION_POLICY,
    HOLD_POLICIES,
    MAX_ROLE_CHANGE_TIME,
    MIN_SUSPICION,
    NO_DEMAND,
    PLACEMENTS,
    REJECTION_POLICIES,
    RETURN_SPREAD_SHARE,
    ArrivalWindow,
    CallRequirements,
    CallSilence,
    Demand,
    ExpectedLoad,
    FleetDemand,
    FleetOccupancy,
    FleetWork,
    HealthTracker,
    HoldRefusals,
    HoldSituation,
    HoldTimes,
    PlacementContext,
    PlainLoads,
    PrefixReuse,
    PromptComputations,
    QuotaLedger,
    RankedDemand,
    ResendBudget,
    ReturningCalls,
    RoleBacklog,
    RoleBalancer,
    RoleOrder,
    RoleOrders,
    ServerRests,
    SilenceTracker,
    WaitForecast,
    advise_wait,
    estimate_computation,
    expect_arrivals,
    find_return,
    has_decode_engine,
    list_notices,
    measure_backlog,
    measure_room,
)
from lavenderrun.gateway._bounds import BoundsService
from lavenderrun.gateway._cold_servers import ColdServersService
from lavenderrun.gateway._configuration import ConfigurationService
from lavenderrun.gateway._log import MAX_LOGGED_IDS, to_milliseconds
from lavenderrun.gateway._members import MembersService
from lavenderrun.gateway._peers import PeersService
from lavenderrun.gateway._pool import ConnectionPool
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._stats import (
    EJECTED,
    FLEET_WAITING,
    PREFILL_SHARE,
    QUOTA_LEFT,
    QUOTA_USED,
    RESENDS_LEFT,
    TIME_FACTOR,
    Stats,
)
from lavenderrun.gateway._suspects import SuspectsService
from lavenderrun.kernel import Kernel
from lavenderrun.types import (
    BackendId,
    BackendLoad,
    BackendRole,
    CallRoute,
    Configuration,
    EngineConfiguration,
    GatewayCall,
    HostId,
    Member,
    MemberState,
    PromptPart,
    ServiceGroup,
)


class FleetView:
    """Combines peer reports, rows of backend servers and this host's own observations.

    The service ``reports`` brings the peer reports.

    :ivar quotas: fleet-wide quotas of client accounts.
    :ivar resends: this host's retry budget.
    :ivar occupancy: reservations and reported loads at backend servers.
    :ivar waiting: calls that wait for a decode slot, over all hosts.
    :ivar arrived: new streams that requested a decode slot lately, over all hosts.
    :ivar returning: rejected calls that are expected to come back.
    :ivar computations: prompts that decode engines compute themselves.
    :ivar rejects_by_forecast: policy that tells whether expected waits reject streams.
    :ivar prefixes: beginnings of prompts that engines still hold.
    :ivar health: health of backend servers.
    :ivar plain_loads: loads and times of plain servers that report their pace.
    :ivar fleet_work: engine time by role of the calls of other hosts.
    :ivar rests: servers that asked this host for no calls.
    :ivar cold: cold servers and this host's share of the calls to them.
    :ivar role_orders: orders to change their role that engines accepted.
    :ivar hold_refusals: decode engines that have just refused to reserve capacity.
    :ivar silence: when engines last sent something of this host's streams.
    :ivar prefill_silence: when prefill engines last answered this host, a stream for each prefill.
    """

    needs: ClassVar[tuple[str, ...]] = (
        "bounds",
        "configuration",
        "members",
        "peers",
        "pool",
        "suspects",
        "cold_servers",
    )

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._random = kernel.random_source
        self._host: HostId = kernel.settings.host
        self._data_centre = kernel.settings.data_centre
        self._configuration = kernel.find("configuration", ConfigurationService)
        self._members = kernel.find("members", MembersService)
        self._peers = kernel.find("peers", PeersService)
        self._pool = kernel.find("pool", ConnectionPool)
        self.quotas = QuotaLedger()
        self._bounds = kernel.find("bounds", BoundsService)
        self.resends = ResendBudget(self._bounds.current)
        self.occupancy = FleetOccupancy()
        self.waiting = FleetDemand()
        self.arrived = FleetDemand()
        self.returning = ReturningCalls()
        self._arrivals = ArrivalWindow()
        self.computations = PromptComputations()
        self.rejects_by_forecast = REJECTION_POLICIES.find(DEFAULT_REJECTION_POLICY)
        self.prefixes = PrefixReuse()
        self.health = HealthTracker()
        self.plain_loads = PlainLoads()
        self.fleet_work = FleetWork()
        self.rests = ServerRests()
        self.cold = kernel.find("cold_servers", ColdServersService)
        self.role_orders = RoleOrders()
        self.hold_refusals = HoldRefusals()
        self._needs_hold = HOLD_POLICIES.find(DEFAULT_HOLD_POLICY)
        self.silence = SilenceTracker()
        self.prefill_silence = SilenceTracker()
        self._suspects = kernel.find("suspects", SuspectsService)
        self._hold_times: dict[ServiceGroup, HoldTimes] = {}
        self._balancers: dict[ServiceGroup, RoleBalancer] = {}
        self._call_silence: dict[ServiceGroup, CallSilence] = {}
        stats = kernel.find("stats", Stats)
        stats.register_reader(QUOTA_USED, lambda: _label_by_key(self.quotas.used))
        stats.register_reader(
            QUOTA_LEFT, lambda: _label_by_key(self.quotas.list_remaining(self._clock.now()))
        )
        stats.register_reader(
            RESENDS_LEFT, lambda: _label_by_key(self.resends.list_remaining(self._clock.now()))
        )
        stats.register_reader(FLEET_WAITING, self._count_waiting)
        stats.register_reader(EJECTED, self._count_ejected)
        stats.register_reader(PREFILL_SHARE, self._read_prefill_shares)
        stats.register_reader(TIME_FACTOR, self._read_time_factors)

    def start(self) -> None:
        """Start to watch configuration, backend servers and peers."""
        self._bounds.watch(self.resends.apply_bounds)
        self._configuration.watch(self._apply_configuration)
        self._members.watch(self._note_member_change)
        self._peers.on_hosts_changed = self._note_host_change
        self._peers.on_process_ended = self._note_process_end

    def stop(self) -> None:
        """Do nothing, because this service has no timers."""

    def place(self, service: ServiceGroup, placement: str, need: CallRequirements) -> Member | None:
        """Return a backend server of *service*, ``None`` when none can take the call.

        :param placement: name of the placement policy.
        """
        members = self._members.list_members(service)
        return PLACEMENTS.find(placement)(members, need, self._make_placement_context(service))

    def has_decode_engine(self, service: ServiceGroup, tried: Collection[BackendId]) -> bool:
        """Tell whether *service* has an engine not in *tried* that runs calls now or soon."""
        members = self._members.list_members(service)
        return has_decode_engine(members, tried, self._make_placement_context(service))

    def reserve(self, member: BackendId, tokens: int, *, brief: bool = False) -> None:
        """Reserve capacity for a call of *tokens* at an engine, and report it soon.

        :param brief: the capacity will be freed within some tens of milliseconds.
        """
        self.occupancy.reserve(member, tokens)
        self._peers.report_soft_change(brief=brief)

    def free(self, member: BackendId, tokens: int, *, brief: bool = False) -> None:
        """Free the capacity that a call of *tokens* reserved at an engine, and report it soon.

        :param brief: the capacity was reserved as such.
        """
        self.occupancy.changes.note_level(
            member, self.occupancy.find_reserved(member), self._clock.now()
        )
        self.occupancy.free(member, tokens)
        self._peers.report_soft_change(brief=brief)

    def observe_plain_load(self, member: Member, load: BackendLoad) -> None:
        """Record the load and the pace that a plain server reports in an answer."""
        own = self.occupancy.count_own_calls(member.id)
        self.plain_loads.observe_load(member.id, load, own, self._clock.now())

    def describe_plain_load(self, member: Member) -> dict[str, Any]:
        """Return, for log lines, what is expected at *member*; empty when it reports no pace."""
        found = self._find_expected_loads(member.service).get(member.id)
        if found is None:
            return {}
        return {
            "expected_calls": round(found.calls, 1),
            "time_factor": round(found.time_factor, 2),
            "load_age_ms": to_milliseconds(found.age),
        }

    def _find_expected_loads(self, service: ServiceGroup) -> dict[BackendId, ExpectedLoad]:
        members = self._members.list_members(service)
        own = {member.id: self.occupancy.count_own_calls(member.id) for member in members}
        return self.plain_loads.find_expected(own, own, self._clock.now())

    def _read_time_factors(self) -> dict[tuple[str, ...], float]:
        return {
            (str(member),): found.time_factor
            for service in self._members.list_services()
            for member, found in self._find_expected_loads(service).items()
        }

    def note_waiting(self, waiting: RankedDemand) -> None:
        """Record which calls of this host wait for a decode slot now.

        It is reported soon when the first call of a rank begins to wait or the last one ends, if
        there may be calls of a lower rank: these are the changes by which other hosts act at once.
        """
        old, self.waiting.own = self.waiting.own, waiting
        configuration = self._configuration.current
        lowest = 0 if configuration is None else configuration.lowest_rank
        changed = _list_ranks(old) ^ _list_ranks(waiting)
        if any(rank < lowest for _, rank in changed):
            self._peers.report_soft_change()

    def note_arrival(self, service: ServiceGroup, rank: int, tokens: int) -> None:
        """Count a new stream that requests a decode slot."""
        self._arrivals.add(service, rank, tokens, self._clock.now())

    def list_arrived(self) -> RankedDemand:
        """Return the new streams that requested a decode slot at this host lately."""
        self.arrived.own = self._arrivals.sum(self._clock.now())
        return self.arrived.own

    def find_mean_tokens(self, service: ServiceGroup) -> float:
        """Return the mean need of the streams that requested a slot lately, zero without any."""
        self.list_arrived()
        arrived = self.arrived.sum_all(service)
        return arrived.tokens / arrived.calls if arrived.calls else 0.0

    def find_demand_ahead(self, service: ServiceGroup, rank: int) -> Demand:
        """Return the calls of higher ranks that wait at other hosts or will come within a moment.

        A call of *rank* leaves room for them.
        """
        if rank <= 0:
            return NO_DEMAND
        now = self._clock.now()
        self.waiting.drop_stale_reports(now)
        self.arrived.drop_stale_reports(now)
        self.list_arrived()
        expected = expect_arrivals(self.arrived.sum_all(service, rank))
        return self.waiting.sum_peers(service, rank) + expected

    def note_hold(self, service: ServiceGroup, held: timedelta, tokens: int) -> None:
        """Record how long a stream that was answered whole held its decode slot."""
        self._hold_times.setdefault(service, HoldTimes()).observe(held, tokens)

    @property
    def forecasts_waits(self) -> bool:
        """Whether streams may be rejected by their expected wait."""
        configuration = self._configuration.current
        return configuration is not None and self.rejects_by_forecast(configuration)

    def forecast_wait(
        self, service: ServiceGroup, rank: int, tokens: int, own_ahead: Demand
    ) -> WaitForecast:
        """Return what decides how long a new stream of *rank* waits for a decode slot.

        :param own_ahead: calls of this host that wait ahead of it.
        """
        context = self._make_placement_context(service)
        room = measure_room(self._members.list_members(service), tokens, context)
        hold_times = self._hold_times.setdefault(service, HoldTimes())
        self.waiting.drop_stale_reports(context.now)
        self.arrived.drop_stale_reports(context.now)
        self.list_arrived()
        higher = self.arrived.sum_all(service, rank)
        behind = self.arrived.sum_all(service) - higher
        window = ARRIVAL_WINDOW.total_seconds()
        return WaitForecast(
            tokens,
            self.waiting.sum_peers(service, rank + 1) + own_ahead,
            room,
            hold_times.estimate_drain(room.reserved),
            higher.tokens / window,
            behind.tokens / window,
        )

    def describe_forecast(self, forecast: WaitForecast) -> dict[str, Any]:
        """Return the inputs of a forecast and the age of the oldest report, for log lines."""
        age = self.waiting.find_oldest_age(self._clock.now())
        return {
            "expected_ms": to_milliseconds(forecast.wait),
            "expected_late_ms": to_milliseconds(forecast.late_wait),
            "ahead_calls": forecast.ahead.calls,
            "ahead_tokens": forecast.ahead.tokens,
            "reserved": forecast.room.reserved,
            "free": forecast.room.free,
            "drain_per_s": round(forecast.drain),
            "arriving_ahead_per_s": round(forecast.arriving_ahead),
            "arriving_behind_per_s": round(forecast.arriving_behind),
            "oldest_report_ms": None if age is None else to_milliseconds(age),
            **self.describe_peers(),
        }

    def advise_queue_return(
        self,
        service: ServiceGroup,
        rank: int,
        tokens: int,
        least: timedelta,
        patience: timedelta,
    ) -> timedelta:
        """Return when a caller that got no decode slot may come back.

        :param least: shortest advised wait.
        :param patience: how much longer the caller wants its answer.
        """
        if not self.forecasts_waits:
            return max(least, self.advise_return(service))
        waiting_here = self.waiting.sum_all(service, rank + 1) - self.waiting.sum_peers(
            service, rank + 1
        )
        wait = self.forecast_wait(service, rank, tokens, waiting_here).wait
        # no call is served before the rest of all servers ends, however long the caller waits
        rest = self.advise_return(service)
        return max(rest, advise_wait(wait, least, patience, self.draw_spread()))

    def begin_computation(self, member: Member, tokens: int) -> None:
        """Record that a decode engine computes a prompt of *tokens*, and report it soon."""
        speed = self.find_balancer(member.service).prefill_speed
        duration = estimate_computation(tokens, speed)
        self.computations.begin(member.id, duration, self._clock.now())
        self._peers.report_soft_change()

    def may_compute(self, member: BackendId) -> bool:
        """Tell whether a decode engine can compute a prompt without holding up its streams."""
        return not self.computations.is_busy(member, self._clock.now())

    def find_reusable_prefix(
        self, service: ServiceGroup, route: CallRoute, call: GatewayCall
    ) -> Sequence[PromptPart]:
        """Return the parts of a prompt that count in placement, none when they save little."""
        if not route.reuses_prefixes:
            return ()
        speed = self.find_balancer(service).prefill_speed
        return call.prefix if self.prefixes.is_worthwhile(call.prefix, speed) else ()

    def estimate_held(
        self, service: ServiceGroup, member: BackendId, prefix: Sequence[PromptPart]
    ) -> int:
        """Return how many tokens of *prefix* an engine is expected to hold."""
        held = self.prefixes.estimate_held(prefix, self.find_memory(service))
        return int(held.get(member, 0.0))

    def find_balancer(self, service: ServiceGroup) -> RoleBalancer:
        """Return the role balancer of a model service."""
        return self._balancers.setdefault(service, RoleBalancer())

    def observe_fleet_work(self) -> None:
        """Tell the role balancers of all model services the work of the other hosts."""
        now = self._clock.now()
        for service, balancer in self._balancers.items():
            balancer.observe_fleet(self.fleet_work.sum_work(service, now), now)

    def summarize_work(self) -> dict[ServiceGroup, tuple[float, float, int, int]]:
        """Return, for peer reports, the recent work of this host's calls by service."""
        return {
            service: balancer.own_work.summarize()
            for service, balancer in self._balancers.items()
            if balancer.own_work.calls
        }

    def measure_backlog(self, service: ServiceGroup) -> RoleBacklog:
        """Return what waits at the engines of a model service."""
        self.occupancy.drop_stale_reports(self._clock.now())
        return measure_backlog(
            self._members.list_members(service),
            self.occupancy.sum_reserved_tokens,
            self.occupancy.count_reserved_slots,
            self.find_memory(service),
            self.find_balancer(service).prefill_speed,
        )

    def describe_fleet_work(self, service: ServiceGroup) -> dict[str, Any]:
        """Return the work and the backlog of a model service, for log lines."""
        now, work = self._clock.now(), self.find_balancer(service).work
        age, backlog = self.fleet_work.find_age(service, now), self.measure_backlog(service)
        return {
            "prefills": round(work.prefills),
            "decodes": round(work.decodes),
            "work_hosts": self.fleet_work.count_hosts(service, now),
            "work_age_ms": None if age is None else to_milliseconds(age),
            "prefill_queue_ms": to_milliseconds(backlog.prefill_queue),
            "full_share": round(backlog.full_share, 2),
        }

    def find_role_change_time(self, service: ServiceGroup) -> timedelta:
        """Return how long an engine that changes its role serves no calls, zero when unknown."""
        engine = self._find_engine_configuration(service)
        return timedelta(0) if engine is None else engine.role_change_time

    def _read_prefill_shares(self) -> dict[tuple[str, ...], float]:
        return _label_by_key(
            {service: each.prefill_share for service, each in self._balancers.items()}
        )

    def find_call_silence(self, service: ServiceGroup) -> CallSilence:
        """Return when the servers of a plain service last sent something to this host."""
        return self._call_silence.setdefault(service, CallSilence())

    def find_memory(self, service: ServiceGroup) -> int:
        """Return how many tokens of KV cache an engine of *service* holds, zero when unknown."""
        engine = self._find_engine_configuration(service)
        return 0 if engine is None else engine.kv_tokens

    def describe_peers(self) -> dict[str, Any]:
        """Return the number of gateways and of other gateways that report, for log lines."""
        return {"hosts": self._peers.count_hosts(), "reporting": self._peers.count_reporting()}

    def describe_members(self) -> dict[str, Any]:
        """Return the version and the age of what is known of backend servers, for log lines."""
        age = self._members.age
        return {
            "members": self._members.version,
            "members_age_ms": None if age is None else to_milliseconds(age),
        }

    def find_export_lifetime(self, service: ServiceGroup) -> timedelta:
        """Return how long engines of *service* keep exported KV cache, zero when unknown."""
        engine = self._find_engine_configuration(service)
        return timedelta(0) if engine is None else engine.export_lifetime

    def find_hold_lifetime(self, member: Member, tokens: int, rank: int) -> timedelta:
        """Return how long *member* may hold capacity for a call, zero when the call needs no hold.

        :param tokens: tokens that the call has reserved at the decode engine.
        """
        engine = self._find_engine_configuration(member.service)
        if engine is None or not engine.hold_lifetime:
            return timedelta(0)
        situation = HoldSituation(
            rank,
            tokens,
            self.occupancy.find_reserved(member.id),
            member.slots,
            engine.kv_tokens,
            self.occupancy.changes.find(member.id, self._clock.now()),
            self._peers.count_hosts(),
        )
        return engine.hold_lifetime if self._needs_hold(situation) else timedelta(0)

    def describe_reservations(self, member: BackendId) -> dict[str, Any]:
        """Return what all hosts reserve at an engine, and how old that is, for log lines."""
        reserved = self.occupancy.find_reserved(member)
        age = self.occupancy.changes.find_age(member, self._clock.now())
        return {
            "reserved": reserved.tokens,
            "slots": reserved.calls,
            "changed_ms": None if age is None else to_milliseconds(age),
            **self.describe_peers(),
        }

    def may_free_hold(self, member: Member) -> bool:
        """Tell whether a hold at *member* is still there and may be freed by a call to it."""
        current, now = self._members.find(member.id), self._clock.now()
        if current is None or current.started != member.started:
            return False
        return current.state is not MemberState.EVACUATED and not self.rests.forbids(member, now)

    def note_role_order(self, order: RoleOrder) -> None:
        """Record that an engine accepted the order to change its role."""
        self.role_orders.record(order, MAX_ROLE_CHANGE_TIME, self._clock.now())
        self._peers.report_soon()

    def list_role_orders(self) -> Mapping[RoleOrder, timedelta]:
        """Return the orders that engines still have to carry out, and how long that is expected."""
        return self.role_orders.list_pending(self._members.find, self._clock.now())

    def find_ready(self, member: Member) -> Member | None:
        """Return the current state of *member*, ``None`` when it restarted or takes no new work."""
        current = self._members.find(member.id)
        if current is None or current.started != member.started:
            return None
        return current if current.state is MemberState.READY else None

    def takes_calls(self, member: Member) -> bool:
        """Tell whether a call that was to be sent to *member* may still be sent."""
        is_ready = self.find_ready(member) is not None
        return is_ready and not self.rests.forbids(member, self._clock.now())

    def begin_rest(self, member: Member, wait: timedelta) -> None:
        """Record that *member* asked this host for no calls for some time."""
        self.rests.begin(member, wait, self._clock.now(), self._random.random())

    def find_wait(self, service: ServiceGroup) -> timedelta:
        """Return how long no server of *service* may be called, zero when one may be called now."""
        now = self._clock.now()
        returns = find_return(self._list_serving(service), self.rests, self._pool.unreached, now)
        return timedelta(0) if returns is None else returns - now

    def is_unreached(self, service: ServiceGroup) -> bool:
        """Tell whether *service* has servers and the last connection to each of them failed."""
        servers = self._list_serving(service)
        return bool(servers) and all(
            self._pool.unreached.is_unreached(member.address) for member in servers
        )

    def explain_no_server(self, service: ServiceGroup, otherwise: str) -> str:
        """Return why no server of *service* takes a call, as the end of a sentence.

        :param otherwise: the reason when all could be reached and none is evacuated or cold.
        """
        if self.is_evacuated(service):
            return "is outside an evacuated data centre"
        if self.is_withheld(service):
            return "may get a call while it is cold"
        return "could be reached" if self.is_unreached(service) else otherwise

    def is_withheld(self, service: ServiceGroup) -> bool:
        """Tell whether all servers of *service* are cold and this host has no share of any now."""
        servers = self._list_serving(service)
        return bool(servers) and len(self.cold.list_withheld(service, servers)) == len(servers)

    def is_evacuated(self, service: ServiceGroup) -> bool:
        """Tell whether evacuations keep calls from all servers of *service* that could run them."""
        states = {member.state for member in self._members.list_members(service)}
        return MemberState.EVACUATED in states and MemberState.READY not in states

    def _list_serving(self, service: ServiceGroup) -> list[Member]:
        return [
            member
            for member in self._members.list_members(service)
            if member.state is MemberState.READY and member.role is not BackendRole.PREFILL
        ]

    def draw_spread(self) -> float:
        """Return a random number from 0 to 1, by which hosts and calls are spread."""
        return self._random.random()

    def advise_return(self, service: ServiceGroup) -> timedelta:
        """Return when a refused caller may come back, zero when a server may be called now."""
        wait, spread = self.find_wait(service), self.draw_spread()
        late = self.rests.spread_return(self._list_serving(service), self._clock.now(), spread)
        return wait + (wait * RETURN_SPREAD_SHARE * spread if late is None else late)

    def note_stall(self) -> None:
        """Record that this process did not run until now, so that it could hear nothing."""
        now = self._clock.now()
        for tracker in (self.silence, self.prefill_silence):
            tracker.note_stall(now)
        for calls in self._call_silence.values():
            calls.note_stall(now)

    def note_departure(self, member: Member) -> None:
        """Record that *member* said it is leaving, and tell the other gateways soon."""
        if self._members.note_departures([member.incarnation], self._host):
            self._peers.report_soon()

    def describe_notices(self, service: ServiceGroup) -> list[dict[str, Any]]:
        """Return, for a log line, which servers of *service* want no calls, and who told so."""
        notices = list_notices(
            self._members.list_members(service),
            self._members.find_departure,
            self._members.find_evacuation,
            self.rests,
            self._host,
            self._clock.now(),
        )
        return [
            {
                "member": notice.member,
                "says": notice.kind.value,
                "told_by": notice.told_by,
                "age_ms": to_milliseconds(notice.age),
                "left_ms": None if notice.left is None else to_milliseconds(notice.left),
            }
            for notice in islice(notices, MAX_LOGGED_IDS)
        ]

    def _find_engine_configuration(self, service: ServiceGroup) -> EngineConfiguration | None:
        configuration = self._configuration.current
        service_configuration = (
            configuration.services.get(service) if configuration is not None else None
        )
        return None if service_configuration is None else service_configuration.engine

    def _make_placement_context(self, service: ServiceGroup) -> PlacementContext:
        now = self._clock.now()
        self.occupancy.drop_stale_reports(now)
        return PlacementContext(
            now,
            self._data_centre,
            self.health,
            self.occupancy,
            self._random,
            memory_tokens=self.find_memory(service),
            prefill_speed=self.find_balancer(service).prefill_speed,
            moving={order.member for order in self.list_role_orders()},
            computations=self.computations,
            rests=self.rests,
            silent=self.silence.list_silent(MIN_SUSPICION, now),
            unreached=self._pool.unreached,
            plain_loads=self.plain_loads,
            prefixes=self.prefixes,
            withheld=self.cold.list_withheld(service, self._members.list_members(service)),
            hold_refusals=self.hold_refusals,
        )

    def _apply_configuration(self, configuration: Configuration) -> None:
        quotas = {
            account.id: account.quota
            for account in configuration.accounts
            if account.quota is not None
        }
        self.quotas.configure(quotas, self._clock.now())

    def _note_member_change(self, old: Member | None, new: Member | None) -> None:
        if new is not None and _takes_streams(new) and not _is_same_run(old, new):
            self.occupancy.changes.note_start(new.id, self._clock.now())
        if old is None:
            return
        if new is None or new.started != old.started or new.address != old.address:
            self.health.forget(old.id)
            self.computations.forget(old.id)
            self.plain_loads.forget(old.id)
            self.prefixes.forget(old.id)
            self.find_call_silence(old.service).forget(old.id)
            self._pool.forget(old.address)

    def _note_host_change(self, hosts: dict[HostId, datetime]) -> None:
        self.quotas.set_peers(hosts)
        self.prefixes.set_hosts(hosts)
        self.quotas.set_peer_timeout(self._peers.lost_after)
        self.resends.set_host_count(len(hosts) + 1)
        self._pool.set_host_count(len(hosts) + 1)
        self._members.host_count = len(hosts) + 1
        self.cold.set_hosts(hosts)

    def _note_process_end(self, host: HostId) -> None:
        self.quotas.note_end(host, self._clock.now())

    def _count_waiting(self) -> dict[tuple[str, ...], float]:
        self.waiting.drop_stale_reports(self._clock.now())
        return {
            (str(service), str(rank)): float(demand.calls)
            for (service, rank), demand in self.waiting.list_all().items()
        }

    def _count_ejected(self) -> dict[tuple[str, ...], float]:
        now = self._clock.now()
        counts = {}
        for service in self._members.list_services():
            members = self._members.list_members(service)
            counts[service] = sum(
                self.health.is_paused(member.id, now) or self.rests.is_resting(member, now)
                for member in members
            )
        return _label_by_key(counts)


def _takes_streams(member: Member) -> bool:
    return member.state is MemberState.READY and member.role is not BackendRole.PREFILL


def _is_same_run(old: Member | None, new: Member) -> bool:
    """Tell whether *new* took streams before, in the same run."""
    return old is not None and _takes_streams(old) and old.started == new.started


def _list_ranks(demand: RankedDemand) -> set[tuple[ServiceGroup, int]]:
    return {(service, rank) for service, ranks in demand.items() for rank in ranks}


def _label_by_key(values: Mapping[Any, float]) -> dict[tuple[str, ...], float]:
    """Return gauge values whose only label is the key."""
    return {(str(key),): float(value) for key, value in values.items()}


@GATEWAY_SERVICES.register("view")
def make_view(kernel: Kernel) -> FleetView:
    """Make the service ``view``."""
    return FleetView(kernel)
