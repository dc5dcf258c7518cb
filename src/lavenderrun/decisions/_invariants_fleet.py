"""Invariant checks on client accounts, keys, hosts and the document."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import datetime, timedelta

from lavenderrun.decisions._invariants import INVARIANT_CHECKS, RecordIndex, Violation
from lavenderrun.types import (
    AccountId,
    BackendReceived,
    BackendRun,
    CallerSent,
    Document,
    DocumentAccepted,
    DocumentInForce,
    DocumentVersion,
    Event,
    HostId,
    HostLeaving,
    HostLost,
    HostStarted,
    HostStopped,
    Invariant,
    KeyDigest,
    Rate,
    RequestAccepted,
    RequestEventData,
    TokensGranted,
    TokensReturned,
)

IN_FORCE_WITHIN = timedelta(seconds=5)
"""Time from the acceptance of a document by the store until it is in force on reachable hosts."""
LEAVING_WITHIN = timedelta(seconds=3)
"""Time from the start of a planned stop until no new work may arrive."""

_ROUNDING_TOLERANCE = 1e-6


@INVARIANT_CHECKS.register(Invariant.KEY_BOUND.value)
def check_key_binding(index: RecordIndex) -> Iterator[Violation]:
    """Requests run for their key's account, no server sees a key, withdrawn keys stop working."""
    invariant = Invariant.KEY_BOUND
    owners = {data.request: data.owner for _, data in index.select(CallerSent)}
    digests = {data.request: data.key_digest for _, data in index.select(CallerSent)}
    withdrawn = _find_withdrawals(index)
    accounts = [(e, data.request, data.account) for e, data in index.select(RequestAccepted)]
    accounts += [(e, data.request, data.account) for e, data in index.select(BackendRun)]
    for event, request, account in accounts:
        if account is not None and owners.get(request, account) != account:
            text = f"ran for {account}, which is not its key's account"
            yield Violation(invariant, event.at, request, text)
    kinds: tuple[type[RequestEventData], ...] = (RequestAccepted, BackendReceived)
    for kind in kinds:
        for event, data in index.select(kind):
            digest = digests.get(data.request)
            since = withdrawn.get(digest) if digest is not None else None
            if since is not None and event.at > since + IN_FORCE_WITHIN:
                text = f"was taken at {event.host} after its key was withdrawn"
                yield Violation(invariant, event.at, data.request, text)
    for event, received in index.select(BackendReceived):
        if received.saw_key:
            text = f"{received.backend} saw its key"
            yield Violation(invariant, event.at, received.request, text)


class _AccountBudget:
    """Requests and tokens that an account may still be granted at once by the whole fleet."""

    def __init__(self, at: datetime, rate: Rate) -> None:
        self._at = at
        self._rate = rate
        self._old_rate = rate
        self._changed_at = at
        self.requests = rate.request_burst
        self.tokens = rate.token_burst

    def change(self, at: datetime, rate: Rate) -> None:
        """Set a new rate; the old rate stays allowed until the new one is in force everywhere."""
        self.add(at, 0, 0)
        if rate != self._rate:
            self._old_rate, self._rate, self._changed_at = self._rate, rate, at
            self.requests += max(0.0, rate.request_burst - self._old_rate.request_burst)
            self.tokens += max(0.0, rate.token_burst - self._old_rate.token_burst)

    def add(self, at: datetime, requests: float, tokens: float) -> None:
        """Refill by the rate up to *at* and add what was returned."""
        old = self._old_rate if at <= self._changed_at + IN_FORCE_WITHIN else self._rate
        new, seconds = self._rate, (at - self._at).total_seconds()
        per_second = max(old.requests_per_second, new.requests_per_second)
        most = max(old.request_burst, new.request_burst)
        self.requests = min(most, self.requests + per_second * seconds + requests)
        per_second = max(old.tokens_per_second, new.tokens_per_second)
        most = max(old.token_burst, new.token_burst)
        self.tokens = min(most, self.tokens + per_second * seconds + tokens)
        self._at = at

    def is_overdrawn(self) -> bool:
        """Return whether more was granted than rate and burst allow."""
        requests = self.requests + _ROUNDING_TOLERANCE * self._rate.request_burst
        return requests < 0 or self.tokens + _ROUNDING_TOLERANCE * self._rate.token_burst < 0


@INVARIANT_CHECKS.register(Invariant.RATE_KEPT.value)
def check_rates(index: RecordIndex) -> Iterator[Violation]:
    """The grants of all hosts to an account stay within its rate and burst."""
    budgets: dict[AccountId, _AccountBudget] = {}
    for event in index.events:
        data = event.data
        if isinstance(data, DocumentAccepted):
            _change_rates(budgets, event.at, data.document)
        elif isinstance(data, TokensReturned) and data.account in budgets:
            budgets[data.account].add(event.at, data.requests, data.tokens)
        elif isinstance(data, TokensGranted) and data.account in budgets:
            budget = budgets[data.account]
            budget.add(event.at, 0, 0)
            budget.requests -= data.requests
            budget.tokens -= data.tokens
            if budget.is_overdrawn():
                text = f"got more than its rate by a grant at {event.host}"
                yield Violation(Invariant.RATE_KEPT, event.at, data.account, text)


@INVARIANT_CHECKS.register(Invariant.LEAVING_NO_WORK.value)
def check_leaving_hosts(index: RecordIndex) -> Iterator[Violation]:
    """A leaving backend server receives no new work after :data:`LEAVING_WITHIN`."""
    for event, _ in index.select(HostLeaving):
        stopped_at = index.find_host_end(event.host, event.at) or index.end
        for work, data in index.select(BackendReceived):
            late = event.at + LEAVING_WITHIN < work.at <= stopped_at
            if work.host == event.host and late:
                text = f"reached {event.host}, which is leaving"
                yield Violation(Invariant.LEAVING_NO_WORK, work.at, data.request, text)


@INVARIANT_CHECKS.register(Invariant.DOCUMENT_MONOTONE.value)
def check_document_versions(index: RecordIndex) -> Iterator[Violation]:
    """An accepted document is in force in time on every reachable host and never reverts."""
    invariant = Invariant.DOCUMENT_MONOTONE
    highest: dict[HostId, DocumentVersion] = {}
    for event, data in index.select(DocumentInForce):
        if data.version < highest.get(event.host, data.version):
            text = f"went back from {highest[event.host]} to {data.version}"
            yield Violation(invariant, event.at, event.host, text)
        highest[event.host] = max(data.version, highest.get(event.host, data.version))
    for accepted, document in index.select(DocumentAccepted):
        latest = accepted.at + IN_FORCE_WITHIN
        if latest > index.end:
            continue
        for host in _find_steady_hosts(index, accepted.at, latest):
            if not _has_in_force(index, host, document.version, latest):
                text = f"does not work by {document.version} in time"
                yield Violation(invariant, latest, host, text)


def _has_in_force(
    index: RecordIndex, host: HostId, version: DocumentVersion, latest: datetime
) -> bool:
    return any(
        event.host == host and data.version >= version and event.at <= latest
        for event, data in index.select(DocumentInForce)
    )


def _find_steady_hosts(index: RecordIndex, start: datetime, end: datetime) -> list[HostId]:
    """Return the hosts that run without interruption from *start* to *end*."""
    hosts: dict[HostId, Event] = {}
    interrupted: set[HostId] = set()
    for event in index.events:
        if not isinstance(event.data, HostStarted | HostLost | HostStopped):
            continue
        if event.at <= start:
            hosts[event.host] = event
        elif event.at <= end:
            interrupted.add(event.host)
    return [
        host
        for host, event in hosts.items()
        if isinstance(event.data, HostStarted) and host not in interrupted
    ]


def _find_withdrawals(index: RecordIndex) -> dict[KeyDigest, datetime]:
    """Return when each key that the last document lacks was withdrawn."""
    withdrawn: dict[KeyDigest, datetime] = {}
    before: set[KeyDigest] = set()
    for event, data in index.select(DocumentAccepted):
        now = {key for account in data.document.accounts for key in account.keys}
        withdrawn.update(dict.fromkeys(before - now, event.at))
        for key in now:
            withdrawn.pop(key, None)
        before = now
    return withdrawn


def _change_rates(
    budgets: dict[AccountId, _AccountBudget], at: datetime, document: Document
) -> None:
    for account in document.accounts:
        if account.id in budgets:
            budgets[account.id].change(at, account.rate)
        else:
            budgets[account.id] = _AccountBudget(at, account.rate)
