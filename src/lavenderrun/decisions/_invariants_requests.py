"""Invariant checks on requests and their answers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from datetime import datetime, timedelta

from lavenderrun.decisions._invariants import INVARIANT_CHECKS, RecordIndex, Violation
from lavenderrun.types import (
    AttemptEventData,
    BackendCrashed,
    BackendEnded,
    BackendReceived,
    BackendRun,
    CallerBegan,
    CallerFinished,
    CallerGone,
    CallerRefused,
    CallerSent,
    Event,
    ExportFreed,
    ExportHeld,
    HostId,
    HostLeaving,
    HostLost,
    HostStopped,
    Invariant,
    MemoryHeld,
    Outcome,
    Refusal,
    Repeatability,
    RequestAccepted,
    RequestCancelled,
    RequestEventData,
    RequestFinished,
    RequestId,
    RequestRefused,
    SeatFreed,
    SeatTaken,
)

FREED_WITHIN = timedelta(seconds=5)
"""Time from the end of a request until nothing may be held for it."""

_CUT_OFF_REFUSALS = {
    Refusal.LEAVING,
    Refusal.BACKEND_LOST,
    Refusal.OUTCOME_UNKNOWN,
    Refusal.CANCELLED,
}
_HOLDS_AND_FREES: tuple[tuple[type[AttemptEventData], type[AttemptEventData]], ...] = (
    (SeatTaken, SeatFreed),
    (ExportHeld, ExportFreed),
    (BackendRun, BackendEnded),
)


@INVARIANT_CHECKS.register(Invariant.NO_MEMORY_HELD.value)
def check_memory(index: RecordIndex) -> Iterator[Violation]:
    """Slots, exports and runs end soon after their request; nothing is held after the run."""
    invariant = Invariant.NO_MEMORY_HELD
    for event, held in index.select(MemoryHeld):
        if held.amount:
            yield Violation(invariant, event.at, held.holder, f"holds {held.amount} at the end")
    request_ends = _find_request_ends(index)
    for taken, freed in _HOLDS_AND_FREES:
        freed_at = {(e.host, w.request, w.attempt): e.at for e, w in index.select(freed)}
        for event, data in index.select(taken):
            if data.request not in request_ends:
                continue
            latest = max(request_ends[data.request], event.at) + FREED_WITHIN
            ended = freed_at.get((event.host, data.request, data.attempt))
            ended = ended or index.find_host_end(event.host, event.at) or index.end
            if ended > latest:
                text = f"{taken.__name__} outlives its request on {event.host}"
                yield Violation(invariant, event.at, data.request, text)


@INVARIANT_CHECKS.register(Invariant.ANSWERED_ONCE.value)
def check_answers(index: RecordIndex) -> Iterator[Violation]:
    """Each request ends at most once at its caller and at most once at its entry."""
    pairs: tuple[tuple[type[RequestEventData], ...], ...] = (
        (CallerFinished, CallerRefused),
        (RequestFinished, RequestRefused),
    )
    for kinds in pairs:
        ends: Counter[RequestId] = Counter()
        for kind in kinds:
            for event, data in index.select(kind):
                ends[data.request] += 1
                if ends[data.request] == 2:
                    yield Violation(
                        Invariant.ANSWERED_ONCE, event.at, data.request, "is answered twice"
                    )


@INVARIANT_CHECKS.register(Invariant.WHOLE_ANSWER.value)
def check_whole(index: RecordIndex) -> Iterator[Violation]:
    """Each caller gets the whole answer to its own request, gets a refusal or disconnects."""
    finished = {data.request: data.digest for _, data in index.select(CallerFinished)}
    others = {data.request for _, data in index.select(CallerRefused)}
    others |= {data.request for _, data in index.select(CallerGone)}
    for event, sent in index.select(CallerSent):
        digest = finished.get(sent.request)
        if digest is None and sent.request not in others:
            text = "has no answer"
        elif digest is not None and sent.expected and digest != sent.expected:
            text = "has another answer than its own"
        else:
            continue
        yield Violation(Invariant.WHOLE_ANSWER, event.at, sent.request, text)


@INVARIANT_CHECKS.register(Invariant.BEGUN_NOT_CUT.value)
def check_begun(index: RecordIndex) -> Iterator[Violation]:
    """A begun answer ends whole unless a server or host that worked on it, or its time, ends."""
    ends = _find_caller_ends(index)
    visits = _find_visits(index)
    lost = [(event.host, event.at) for event, _ in index.select(HostLost)]
    lost += [(event.host, event.at) for event, _ in index.select(BackendCrashed)]
    for began, data in index.select(CallerBegan):
        end = ends.get(data.request)
        if end is None or not isinstance(end.data, CallerRefused):
            continue
        if end.data.refused.refusal is Refusal.DEADLINE:
            continue
        hosts = visits.get(data.request, {})
        if not any(host in hosts and hosts[host] <= at <= end.at for host, at in lost):
            text = f"was broken off after it had begun: {end.data.refused.refusal.value}"
            yield Violation(Invariant.BEGUN_NOT_CUT, began.at, data.request, text)


@INVARIANT_CHECKS.register(Invariant.NOT_RUN_TRUE.value)
def check_not_run(index: RecordIndex) -> Iterator[Violation]:
    """No backend server receives a request that was refused as not run."""
    received = {data.request: event for event, data in index.select(BackendReceived)}
    for event, data in index.select(CallerRefused):
        run = received.get(data.request)
        if data.refused.outcome is Outcome.NOT_RUN and run is not None:
            yield Violation(
                Invariant.NOT_RUN_TRUE, event.at, data.request, f"was refused yet ran at {run.host}"
            )


@INVARIANT_CHECKS.register(Invariant.AT_MOST_ONCE.value)
def check_at_most_once(index: RecordIndex) -> Iterator[Violation]:
    """A request that may not be repeated reaches a backend server at most once.

    Requests of one account with the same idempotency key count as one request.
    """
    identities: dict[RequestId, str] = {}
    for _, sent in index.select(CallerSent):
        if sent.repeatability is Repeatability.AT_MOST_ONCE:
            identities[sent.request] = sent.request
            if sent.idempotency_key is not None:
                identities[sent.request] = f"{sent.owner} {sent.idempotency_key}"
    runs: Counter[str] = Counter()
    for event, data in index.select(BackendReceived):
        identity = identities.get(data.request)
        if identity is None and data.repeatability is Repeatability.AT_MOST_ONCE:
            identity = data.request
        if identity is None:
            continue
        runs[identity] += 1
        if runs[identity] > 1:
            text = f"ran {runs[identity]} times, now at {event.host}"
            yield Violation(Invariant.AT_MOST_ONCE, event.at, identity, text)


@INVARIANT_CHECKS.register(Invariant.STOP_CUTS_NONE.value)
def check_stops(index: RecordIndex) -> Iterator[Violation]:
    """A request that is at a host when the host's planned stop begins is not cut off."""
    stops = [
        (event.host, event.at, stop)
        for event, _ in index.select(HostLeaving)
        if (stop := _find_stop(index, event)) is not None
    ]
    if not stops:
        return
    ends = _find_caller_ends(index)
    visits_by_request = _find_visits(index)
    lost = [(event.host, event.at) for event, _ in index.select(HostLost)]
    for request, visits in visits_by_request.items():
        end = ends.get(request)
        for host, left, _ in stops:
            began = visits.get(host)
            if began is None or began >= left or (end is not None and end.at <= left):
                continue
            if any(other in visits and at >= began for other, at in lost):
                continue
            if end is None or (
                isinstance(end.data, CallerRefused)
                and end.data.refused.refusal in _CUT_OFF_REFUSALS
            ):
                yield Violation(
                    Invariant.STOP_CUTS_NONE, left, request, f"was cut off by the stop of {host}"
                )


def _find_stop(index: RecordIndex, leaving: Event) -> datetime | None:
    for event, _ in index.select(HostStopped):
        if event.host == leaving.host and event.at >= leaving.at:
            return event.at
    return None


def _find_caller_ends(index: RecordIndex) -> dict[RequestId, Event]:
    ends: dict[RequestId, Event] = {}
    kinds: tuple[type[RequestEventData], ...] = (CallerFinished, CallerRefused, CallerGone)
    for kind in kinds:
        for event, data in index.select(kind):
            ends.setdefault(data.request, event)
    return ends


def _find_visits(index: RecordIndex) -> dict[RequestId, dict[HostId, datetime]]:
    visits_by_request: dict[RequestId, dict[HostId, datetime]] = {}
    kinds: tuple[type[RequestEventData], ...] = (RequestAccepted, BackendRun)
    for kind in kinds:
        for event, data in index.select(kind):
            visits_by_request.setdefault(data.request, {}).setdefault(event.host, event.at)
    return visits_by_request


def _find_request_ends(index: RecordIndex) -> dict[RequestId, datetime]:
    ends: dict[RequestId, datetime] = {}
    kinds: tuple[type[RequestEventData], ...] = (RequestFinished, RequestRefused, RequestCancelled)
    for kind in kinds:
        for event, data in index.select(kind):
            ends.setdefault(data.request, event.at)
    for event, data in index.select(RequestAccepted):
        host_end = index.find_host_end(event.host, event.at)
        if host_end is not None and host_end < ends.get(data.request, index.end):
            ends[data.request] = host_end
    return ends
