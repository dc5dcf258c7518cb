"""Invariant checks on requests and their answers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from datetime import datetime, timedelta

from lavenderrun.decisions._invariants import INVARIANT_CHECKS, RecordIndex, Violation
from lavenderrun.types import (
    AttemptEventData,
    BackendEnded,
    BackendReceived,
    BackendRun,
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
"""From a request's end until nothing may be held for it."""

_CUT = {Refusal.LEAVING, Refusal.BACKEND_LOST, Refusal.OUTCOME_UNKNOWN, Refusal.CANCELLED}
_HOLDS: tuple[tuple[type[AttemptEventData], type[AttemptEventData]], ...] = (
    (SeatTaken, SeatFreed),
    (ExportHeld, ExportFreed),
    (BackendRun, BackendEnded),
)


@INVARIANT_CHECKS.register(Invariant.NO_MEMORY_HELD.value)
def check_memory(index: RecordIndex) -> Iterator[Violation]:
    """Seats, exports and runs end soon after their request; nothing is held when all is over."""
    invariant = Invariant.NO_MEMORY_HELD
    for event, held in index.select(MemoryHeld):
        if held.amount:
            yield Violation(invariant, event.at, held.holder, f"holds {held.amount} at the end")
    gone = _find_ends(index)
    for taken, freed in _HOLDS:
        closed = {(e.host, w.request, w.attempt): e.at for e, w in index.select(freed)}
        for event, what in index.select(taken):
            if what.request not in gone:
                continue
            latest = max(gone[what.request], event.at) + FREED_WITHIN
            ended = closed.get((event.host, what.request, what.attempt))
            ended = ended or index.find_end_of_life(event.host, event.at) or index.end
            if ended > latest:
                text = f"{taken.__name__} outlives its request on {event.host}"
                yield Violation(invariant, event.at, what.request, text)


@INVARIANT_CHECKS.register(Invariant.ANSWERED_ONCE.value)
def check_answers(index: RecordIndex) -> Iterator[Violation]:
    """Each request ends at most once, for its caller and at its entry."""
    pairs: tuple[tuple[type[RequestEventData], ...], ...] = (
        (CallerFinished, CallerRefused),
        (RequestFinished, RequestRefused),
    )
    for kinds in pairs:
        ends: Counter[RequestId] = Counter()
        for kind in kinds:
            for event, what in index.select(kind):
                ends[what.request] += 1
                if ends[what.request] == 2:
                    yield Violation(
                        Invariant.ANSWERED_ONCE, event.at, what.request, "is answered twice"
                    )


@INVARIANT_CHECKS.register(Invariant.WHOLE_ANSWER.value)
def check_whole(index: RecordIndex) -> Iterator[Violation]:
    """Each caller gets the whole answer to its own request, a refusal, or hangs up."""
    finished = {what.request: what.digest for _, what in index.select(CallerFinished)}
    others = {what.request for _, what in index.select(CallerRefused)}
    others |= {what.request for _, what in index.select(CallerGone)}
    for event, sent in index.select(CallerSent):
        digest = finished.get(sent.request)
        if digest is None and sent.request not in others:
            text = "has no answer"
        elif digest is not None and sent.expected and digest != sent.expected:
            text = "has another answer than its own"
        else:
            continue
        yield Violation(Invariant.WHOLE_ANSWER, event.at, sent.request, text)


@INVARIANT_CHECKS.register(Invariant.NOT_RUN_TRUE.value)
def check_not_run(index: RecordIndex) -> Iterator[Violation]:
    """No backend server ever receives a request that was refused as not run."""
    received = {what.request: event for event, what in index.select(BackendReceived)}
    for event, what in index.select(CallerRefused):
        run = received.get(what.request)
        if what.refused.outcome is Outcome.NOT_RUN and run is not None:
            yield Violation(
                Invariant.NOT_RUN_TRUE, event.at, what.request, f"was refused yet ran at {run.host}"
            )


@INVARIANT_CHECKS.register(Invariant.AT_MOST_ONCE.value)
def check_at_most_once(index: RecordIndex) -> Iterator[Violation]:
    """A request that may not be repeated reaches a backend server at most once.

    Requests of one account with the same idempotency key are one request.
    """
    names: dict[RequestId, str] = {}
    for _, sent in index.select(CallerSent):
        if sent.repeatability is Repeatability.AT_MOST_ONCE:
            names[sent.request] = sent.request
            if sent.idempotency_key is not None:
                names[sent.request] = f"{sent.owner} {sent.idempotency_key}"
    runs: Counter[str] = Counter()
    for event, what in index.select(BackendReceived):
        name = names.get(what.request)
        if name is None and what.repeatability is Repeatability.AT_MOST_ONCE:
            name = what.request
        if name is None:
            continue
        runs[name] += 1
        if runs[name] > 1:
            text = f"ran {runs[name]} times, now at {event.host}"
            yield Violation(Invariant.AT_MOST_ONCE, event.at, name, text)


@INVARIANT_CHECKS.register(Invariant.STOP_CUTS_NONE.value)
def check_stops(index: RecordIndex) -> Iterator[Violation]:
    """A request that runs on a host when its planned stop begins is not cut off."""
    stops = [
        (event.host, event.at, stop)
        for event, _ in index.select(HostLeaving)
        if (stop := _find_stop(index, event)) is not None
    ]
    if not stops:
        return
    ends = _find_caller_ends(index)
    places = _find_places(index)
    lost = [(event.host, event.at) for event, _ in index.select(HostLost)]
    for request, visits in places.items():
        end = ends.get(request)
        for host, left, _ in stops:
            began = visits.get(host)
            if began is None or began >= left or (end is not None and end.at <= left):
                continue
            if any(other in visits and at >= began for other, at in lost):
                continue
            if end is None or (
                isinstance(end.data, CallerRefused) and end.data.refused.refusal in _CUT
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
        for event, what in index.select(kind):
            ends.setdefault(what.request, event)
    return ends


def _find_places(index: RecordIndex) -> dict[RequestId, dict[HostId, datetime]]:
    places: dict[RequestId, dict[HostId, datetime]] = {}
    kinds: tuple[type[RequestEventData], ...] = (RequestAccepted, BackendRun)
    for kind in kinds:
        for event, what in index.select(kind):
            places.setdefault(what.request, {}).setdefault(event.host, event.at)
    return places


def _find_ends(index: RecordIndex) -> dict[RequestId, datetime]:
    ends: dict[RequestId, datetime] = {}
    kinds: tuple[type[RequestEventData], ...] = (RequestFinished, RequestRefused, RequestCancelled)
    for kind in kinds:
        for event, what in index.select(kind):
            ends.setdefault(what.request, event.at)
    for event, what in index.select(RequestAccepted):
        life = index.find_end_of_life(event.host, event.at)
        if life is not None and life < ends.get(what.request, index.end):
            ends[what.request] = life
    return ends
