"""Service ``reports``: what this gateway tells the others of the fleet, and learns from them."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import datetime, timedelta
from typing import ClassVar, Final

from lavenderrun.dispatch import (
    MAX_ROLE_CHANGE_TIME,
    NO_FENCING,
    ComputedPrompt,
    Demand,
    PartReport,
    RankedDemand,
    Reservations,
    RoleOrder,
    RoleWork,
    ServiceWork,
    SoftState,
)
from lavenderrun.gateway._configuration import ConfigurationService
from lavenderrun.gateway._evacuations import EvacuationsService
from lavenderrun.gateway._members import MembersService
from lavenderrun.gateway._peer_messages import PeerReport, ReportedPrompt
from lavenderrun.gateway._peers import PeersService
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._suspects import SuspectsService
from lavenderrun.gateway._view import FleetView
from lavenderrun.kernel import Kernel
from lavenderrun.types import FencingNumber, HostId, PromptPart, ServiceGroup

MAX_REPORTED_REST: Final = timedelta(days=1)
"""Longest time that a peer report gives for a computation: what a caller declares has no bound."""

MAX_REPORTED_AGE: Final = 10.0
"""Longest time in seconds since a reported prompt was computed; older ones are not reported."""

ALL_OTHERS: Final = HostId("")
"""Stands for all other hosts together: their sum is kept like the report of one host."""

MeanWork = Mapping[ServiceGroup, tuple[float, float, int, int]]


class FleetReportsService:
    """Makes this host's peer reports and applies those of the others to the view.

    Soft state is in the peer reports of a small fleet only; in a large one the service ``sums``
    exchanges it. Either way the view has its sum over all other hosts.

    """

    needs: ClassVar[tuple[str, ...]] = (
        "configuration",
        "evacuations",
        "members",
        "peers",
        "suspects",
        "view",
    )

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._host: HostId = kernel.settings.host
        self._configuration = kernel.find("configuration", ConfigurationService)
        self._members = kernel.find("members", MembersService)
        self._evacuations = kernel.find("evacuations", EvacuationsService)
        self._peers = kernel.find("peers", PeersService)
        self._suspects = kernel.find("suspects", SuspectsService)
        self._view = kernel.find("view", FleetView)

    def start(self) -> None:
        """Start to report and to take reports."""
        self._peers.make_report = self.make_report
        self._peers.watch(self.apply_report)
        self._evacuations.on_changed = self._peers.report_soon

    def stop(self) -> None:
        """Do nothing: the service ``peers`` sends and receives."""

    def make_report(self) -> PeerReport:
        """Return what the other gateways are told now."""
        now = self._clock.now()
        calls, parts = self._suspects.make_call_report(), self._suspects.make_part_report()
        is_aggregated = self._peers.plan.is_aggregated
        soft = SoftState() if is_aggregated else self.make_soft_state()
        orders = self._view.list_role_orders()
        return PeerReport(
            self._host,
            self._peers.boot,
            self._configuration.version,
            self._view.quotas.used,
            {member: (row.calls, row.tokens) for member, row in soft.reserved.items()},
            {order.member: order.role for order in orders},
            {call: [server for server, _, _ in crashes] for call, crashes in calls.crashes.items()},
            {
                member: min(rest, MAX_REPORTED_REST).total_seconds()
                for member, rest in soft.busy.items()
            },
            self._members.list_departures(),
            parts.crashes,
            parts.answered,
            {
                order.member: (
                    order.incarnation,
                    order.role,
                    order.fencing,
                    order.sequence,
                    left.total_seconds(),
                )
                for order, left in orders.items()
            },
            self._peers.previous,
            {
                call: [(sent, ended) for _, sent, ended in crashes]
                for call, crashes in calls.crashes.items()
            },
            calls.answered,
            self._evacuations.list_notices(),
            waiting={} if is_aggregated else _encode_demand(self._view.waiting.own),
            work={} if is_aggregated else self._view.summarize_work(),
            computed=[] if is_aggregated else self._list_computed(now),
            arrived={} if is_aggregated else _encode_demand(self._view.list_arrived()),
            rejected={
                call: rest.total_seconds()
                for call, rest in self._view.returning.make_report(now).items()
            },
        )

    def _list_computed(self, now: datetime) -> list[ReportedPrompt]:
        return [
            (
                prompt.sequence,
                prompt.engine,
                max(0.0, (now - prompt.at).total_seconds()),
                prompt.tokens,
                [(part.id, part.tokens) for part in prompt.prefix],
            )
            for prompt in self._view.prefixes.list_recent(now)
        ]

    def make_soft_state(self) -> SoftState:
        """Return this host's part of the sums over the fleet."""
        return SoftState(
            self._view.occupancy.own_reservations,
            self._view.computations.list_remaining(self._clock.now()),
            {
                service: {rank: Reservations(*row) for rank, row in ranks.items()}
                for service, ranks in _encode_demand(self._view.waiting.own).items()
            },
            _read_work(self._view.summarize_work()),
        )

    def apply_sums(self, others: SoftState) -> None:
        """Replace the sum of the soft state that other hosts do not report themselves."""
        now = self._clock.now()
        self._view.occupancy.apply_peer_report(ALL_OTHERS, others.reserved, now)
        self._view.computations.apply_peer_report(ALL_OTHERS, others.busy, now)
        waiting = {
            service: {rank: Demand(row.calls, row.tokens) for rank, row in ranks.items()}
            for service, ranks in others.waiting.items()
        }
        self._view.waiting.apply_peer_report(ALL_OTHERS, waiting, now)
        work = {
            service: RoleWork(
                each.prefill_time.total_seconds(),
                each.decode_time.total_seconds(),
                each.prefills,
                each.decodes,
            )
            for service, each in others.work.items()
        }
        self._view.fleet_work.apply_report(ALL_OTHERS, work, now)

    def apply_report(self, report: PeerReport) -> None:
        """Apply what another gateway tells."""
        now = self._clock.now()
        view = self._view
        view.quotas.apply_peer_report(report.host, report.boot, report.used, now, report.previous)
        reserved = {member: Reservations(*row) for member, row in report.reserved.items()}
        view.occupancy.apply_peer_report(report.host, reserved, now)
        view.waiting.apply_peer_report(report.host, _decode_demand(report.waiting), now)
        view.arrived.apply_peer_report(report.host, _decode_demand(report.arrived), now)
        returns = {c: timedelta(seconds=rest) for c, rest in report.rejected.items()}
        view.returning.apply_peer_report(returns, now)
        self._suspects.apply_call_report(report.host, report.boot, report.calls)
        parts = PartReport(report.crashing, report.answered)
        self._suspects.apply_part_report(report.host, parts)
        rests = {m: timedelta(seconds=seconds) for m, seconds in report.computing.items()}
        view.computations.apply_peer_report(report.host, rests, now)
        self._members.note_departures(report.leaving, report.host)
        self._evacuations.apply_peer_report(report.host, report.evacuated)
        view.prefixes.apply_peer_report(
            report.host,
            [
                ComputedPrompt(
                    sequence,
                    engine,
                    now - timedelta(seconds=min(age, MAX_REPORTED_AGE)),
                    tokens,
                    tuple(PromptPart(part, length) for part, length in parts),
                )
                for sequence, engine, age, tokens, parts in report.computed
            ],
        )
        work = {name: RoleWork.from_summary(each) for name, each in report.work.items()}
        view.fleet_work.apply_report(report.host, work, now)
        for member, (incarnation, role, fencing, sequence, left) in report.ordered.items():
            order = RoleOrder(member, incarnation, role, FencingNumber(fencing), sequence)
            view.role_orders.record(order, timedelta(seconds=left), now)
        if not report.ordered:
            self._apply_unnumbered_orders(report)

    def _apply_unnumbered_orders(self, report: PeerReport) -> None:
        """Apply orders as a gateway of an earlier release reports them, once for each engine's run.

        Such gateways report them for as long as they hear of them from each other.
        """
        for name, role in report.moving.items():
            member = self._members.find(name)
            if member is not None:
                # an order that is told with its number replaces one without
                order = RoleOrder(name, member.incarnation, role, NO_FENCING, 0)
                self._view.role_orders.record(order, MAX_ROLE_CHANGE_TIME, self._clock.now())


def _read_work(work: MeanWork) -> dict[ServiceGroup, ServiceWork]:
    return {service: ServiceWork.from_means(*row) for service, row in work.items()}


def _encode_demand(demand: RankedDemand) -> dict[ServiceGroup, dict[int, tuple[int, int]]]:
    return {
        service: {rank: (part.calls, part.tokens) for rank, part in ranks.items()}
        for service, ranks in demand.items()
    }


def _decode_demand(
    demand: Mapping[ServiceGroup, Mapping[int, tuple[int, int]]],
) -> dict[ServiceGroup, dict[int, Demand]]:
    return {
        service: {rank: Demand(*part) for rank, part in ranks.items()}
        for service, ranks in demand.items()
    }


@GATEWAY_SERVICES.register("reports")
def make_reports(kernel: Kernel) -> FleetReportsService:
    """Make the service ``reports``."""
    return FleetReportsService(kernel)
