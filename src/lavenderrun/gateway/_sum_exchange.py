"""Service ``sums``: exchanges soft state in groups of hosts when the fleet is large.

Each host sends its soft state to the aggregator of its group. Aggregators send each other the sums
of their groups, and the sum of all groups to the hosts of their own.
"""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import ClassVar, Final

from lavenderrun.dispatch import (
    NO_SUMS,
    AggregatorChoice,
    GroupPlan,
    GroupSum,
    HostGroup,
    SumAggregator,
    SumAssembler,
    SumReceiver,
    Sums,
    SumStamp,
    combine_sums,
    list_sums,
    read_sums,
)
from lavenderrun.gateway._fleet_reports import FleetReportsService
from lavenderrun.gateway._log import log, to_milliseconds
from lavenderrun.gateway._peers import PeersService
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._stats import SUM_DATAGRAMS, SUMS_AGE, Stats
from lavenderrun.gateway._sum_messages import (
    MessageKind,
    SumMessage,
    SumWriter,
    decode_sum_message,
)
from lavenderrun.kernel import Kernel, Timer
from lavenderrun.types import HostId

CHANGE_DELAY: Final = timedelta(milliseconds=10)
"""Delay after a change, so that changes within a few round trips share a message."""

MIN_INTERVAL: Final = timedelta(milliseconds=100)
"""Shortest interval between two messages of a kind. A reservation passes three senders, so it is
known everywhere after three of them and three hops at most."""

SUM_INTERVAL: Final = timedelta(milliseconds=200)
"""Longest interval between two sums to a host of the group. It is less than half of
``TAKEOVER_AFTER``, so that one lost datagram changes no aggregator."""

GROUP_INTERVAL: Final = timedelta(milliseconds=500)
"""Longest interval between two sums of a group to other aggregators."""

REPORT_INTERVAL: Final = timedelta(seconds=1)
"""Longest interval between two reports of a host; its report expires after three of them."""

REPEAT_AFTER: Final = timedelta(milliseconds=200)
"""Time after which a report that no sum counts is sent again."""

SETTLING: Final = timedelta(milliseconds=200)
"""Time for which a new aggregator collects reports before it sends a sum. It is also the time in
which a host whose loop was late reads that the old aggregator is live."""

TICK: Final = timedelta(milliseconds=100)
"""Longest time until the host looks again at who aggregates."""


class SumExchangeService:
    """Sends and receives soft state while the fleet is large, and applies the others' part."""

    needs: ClassVar[tuple[str, ...]] = ("peers", "reports")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._host: HostId = kernel.settings.host
        self._peers = kernel.find("peers", PeersService)
        self._reports = kernel.find("reports", FleetReportsService)
        self._stats = kernel.find("stats", Stats)
        self._stats.register_reader(SUMS_AGE, self._measure_age)
        self._group: HostGroup | None = None
        self._choice: AggregatorChoice | None = None
        self._aggregator: SumAggregator | None = None
        self._receiver = SumReceiver()
        self._assemblers = {kind: SumAssembler() for kind in MessageKind}
        self._sequence = 0
        self._timer: Timer | None = None
        self._timer_due: datetime | None = None
        self._chosen: HostId | None = None
        self._acting_since: datetime | None = None
        now = self._clock.now()
        self._report_due = now
        self._sums_due = now
        self._last_report = self._last_sums = self._last_group_sum = now
        self._group_sum_changed = False
        self._contacts: dict[HostId, datetime] = {}
        self._probed: datetime = now
        self._applied: datetime | None = None

    def start(self) -> None:
        """Start to watch the fleet's size and its datagrams."""
        self._peers.on_plan_changed = self.apply_plan
        self._peers.on_sum_datagram = self.take_datagram
        self._peers.on_soft_change = self.note_change
        self.apply_plan(self._peers.plan)

    def stop(self) -> None:
        """Stop sending."""
        if self._timer is not None:
            self._timer.cancel()

    def apply_plan(self, plan: GroupPlan) -> None:
        """Begin, change or end the exchange in groups."""
        now = self._clock.now()
        group = plan.find(self._host) if plan.is_aggregated else None
        if group is None:
            if self._group is not None:
                self._end()
            return
        if self._aggregator is None:
            log("sums:begun", "sums: soft state is exchanged in groups", groups=len(plan.groups))
            self._aggregator = SumAggregator(plan, group, now)
            self._last_report = self._last_sums = now - MIN_INTERVAL
        else:
            self._aggregator.change_plan(plan, group)
        if self._group != group:
            self._choice = AggregatorChoice(self._host, group)
            self._group = group
        known = frozenset(host for each in plan.groups.values() for host in each.hosts)
        for assembler in self._assemblers.values():
            assembler.keep(known)
        self.note_change()

    def _end(self) -> None:
        log("sums:ended", "sums: soft state is sent to each host again")
        self._group = self._choice = self._aggregator = None
        self._chosen = self._acting_since = self._applied = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = self._timer_due = None
        self._reports.apply_sums(read_sums(NO_SUMS))

    def note_change(self) -> None:
        """Send soft state soon, as it has changed."""
        now = self._clock.now()
        soon = now + CHANGE_DELAY
        self._report_due = min(self._report_due, max(soon, self._last_report + MIN_INTERVAL))
        self._note_sum_change(now)

    def _note_sum_change(self, now: datetime) -> None:
        self._group_sum_changed = True
        self._hasten_sums(now)

    def _hasten_sums(self, now: datetime) -> None:
        due = max(now + CHANGE_DELAY, self._last_sums + MIN_INTERVAL)
        self._sums_due = min(self._sums_due, due)
        self._schedule()

    def _schedule(self) -> None:
        """Wake at the next due time, unless a timer is set that runs earlier."""
        if self._group is None:
            return
        now = self._clock.now()
        due = self._sums_due if self._acting_since is not None else self._report_due
        due = max(now, min(due, now + TICK))
        if self._timer is not None and self._timer_due is not None:
            if self._timer_due <= due:
                return
            self._timer.cancel()
        self._timer_due = due
        self._timer = self._clock.call_later(due - now, self._run)

    def _run(self) -> None:
        self._timer = self._timer_due = None
        if self._choice is None or self._aggregator is None:
            return
        now = self._clock.now()
        targets = self._choice.choose(now)
        chosen = targets[0]
        self._note_choice(chosen, now)
        if chosen == self._host:
            if self._acting_since is None:
                self._acting_since = now
                self._aggregator.begin(now)
                self._sums_due = now + SETTLING
            elif now >= self._sums_due:
                self._send_sums(self._aggregator, now)
        else:
            self._acting_since = None
            is_unanswered = not self._choice.is_answered(chosen)
            if now >= self._report_due or (
                is_unanswered and now - self._last_report >= REPEAT_AFTER
            ):
                self._send_report(targets, now)
        if now - self._probed >= REPORT_INTERVAL:
            self._probed = now
            self._send_report(self._choice.list_returning(chosen, now), now)
        self._schedule()

    def _note_choice(self, chosen: HostId, now: datetime) -> None:
        if chosen == self._chosen or self._group is None or self._aggregator is None:
            return
        log(
            "sums:aggregator",
            "sums: aggregator of the group chosen",
            aggregator=chosen,
            before=self._chosen,
            group=self._group.id,
            hosts=len(self._group.hosts),
            sums_age_ms=None if self._applied is None else to_milliseconds(now - self._applied),
        )
        self._chosen = chosen
        self._report_due = now

    def _send_report(self, targets: list[HostId], now: datetime) -> None:
        """Send this host's soft state; only the aggregator's copy sets the next due time."""
        if not targets or self._choice is None:
            return
        sums = list_sums(self._reports.make_soft_state())
        sequence = self._receiver.record_report(sums)
        stamp = SumStamp(self._peers.boot, sequence)
        writer = SumWriter(MessageKind.HOST_REPORT, self._host, stamp, sums)
        for target in targets:
            self._choice.note_sent(target, sequence, now)
            self._send(writer, MessageKind.HOST_REPORT, target)
        if self._chosen in targets:
            self._last_report, self._report_due = now, now + REPORT_INTERVAL

    def _send_sums(self, aggregator: SumAggregator, now: datetime) -> None:
        """Send the group's sum to other aggregators and the fleet's sum to the own group."""
        if self._group is None:
            return
        self._last_sums, self._sums_due = now, now + SUM_INTERVAL
        own = list_sums(self._reports.make_soft_state())
        members, groups = aggregator.sum_members(now), aggregator.sum_groups(now)
        self._apply(combine_sums([members, groups]), now)
        self._sequence += 1
        stamp = SumStamp(self._peers.boot, self._sequence)
        self._send_group_sum(aggregator, combine_sums([members, own]), stamp, now)
        total = combine_sums([members, groups, own])
        writer = SumWriter(MessageKind.FLEET_SUM, self._host, stamp, total)
        for host in self._group.hosts:
            if host != self._host:
                counted = aggregator.find_counted(host)
                self._send(writer, MessageKind.FLEET_SUM, host, counted)

    def _send_group_sum(
        self, aggregator: SumAggregator, sums: Sums, stamp: SumStamp, now: datetime
    ) -> None:
        """Send the group's sum to the aggregators of the other groups.

        A host of a group that is not heard is sent one sum in each try, whatever changes.
        """
        if self._group is None:
            return
        is_due = self._group_sum_changed or now - self._last_group_sum >= GROUP_INTERVAL
        hosts = aggregator.count_heard(now) + 1
        writer = SumWriter(
            MessageKind.GROUP_SUM, self._host, stamp, sums, group=self._group.id, hosts=hosts
        )
        contacts: dict[HostId, datetime] = {}
        for target, is_heard in aggregator.list_contacts(now).values():
            last = self._contacts.get(target)
            is_stale = last is None or now - last >= GROUP_INTERVAL
            if is_stale or (is_heard and is_due):
                self._send(writer, MessageKind.GROUP_SUM, target)
                last = now
            if last is not None:
                contacts[target] = last
        self._contacts = contacts
        if is_due:
            self._group_sum_changed, self._last_group_sum = False, now

    def _send(
        self, writer: SumWriter, kind: MessageKind, target: HostId, counted: SumStamp | None = None
    ) -> None:
        for datagram in writer.encode(counted):
            self._stats.count(SUM_DATAGRAMS, kind.value, "sent")
            self._peers.send_datagram(datagram, target)

    def take_datagram(self, datagram: bytes) -> None:
        """Apply a message of another host of the fleet."""
        aggregator, choice = self._aggregator, self._choice
        if aggregator is None or choice is None:
            return
        decoded = decode_sum_message(datagram)
        if decoded is None or self._peers.find_address(decoded[0].host) is None:
            return
        message, part = decoded
        self._stats.count(SUM_DATAGRAMS, message.kind.value, "received")
        is_group_sum = message.kind is MessageKind.GROUP_SUM
        if is_group_sum and self._chosen is not None and self._chosen != self._host:
            # the sender does not know this group's aggregator, whose name is before this host's
            self._peers.send_datagram(datagram, self._chosen)
        assembler = self._assemblers[message.kind]
        sums = assembler.take(message.host, message.stamp, message.part, message.parts, part)
        if sums is None:
            return
        now = self._clock.now()
        if message.kind is MessageKind.FLEET_SUM:
            self._take_fleet_sum(choice, message, sums, now)
        elif message.kind is MessageKind.HOST_REPORT:
            if aggregator.take_report(message.host, message.stamp, sums, now):
                self._note_sum_change(now)
        else:
            found = GroupSum(message.host, message.hosts, now, sums)
            if aggregator.take_group_sum(message.group, found):
                self._hasten_sums(now)

    def _take_fleet_sum(
        self, choice: AggregatorChoice, message: SumMessage, sums: Sums, now: datetime
    ) -> None:
        is_own = message.counted_boot == self._peers.boot
        counted = message.counted if is_own else None
        choice.note_sum(message.host, counted, now)
        if message.host == self._chosen and self._acting_since is None:
            self._apply(self._receiver.find_others(sums, counted), now)

    def _apply(self, others: Sums, now: datetime) -> None:
        self._applied = now
        self._reports.apply_sums(read_sums(others))

    def _measure_age(self) -> dict[tuple[str, ...], float]:
        if self._applied is None:
            return {}
        return {(): (self._clock.now() - self._applied).total_seconds()}


@GATEWAY_SERVICES.register("sums")
def make_sum_exchange(kernel: Kernel) -> SumExchangeService:
    """Make the service ``sums``."""
    return SumExchangeService(kernel)
