"""Invariant checks on accounts, keys, hosts and the document."""

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
"""From the store's acceptance of a document until every reachable host works by it."""
LEAVING_WITHIN = timedelta(seconds=3)
"""From the start of a planned stop until no new work may arrive."""

_ROUNDING = 1e-6


@INVARIANT_CHECKS.register(Invariant.KEY_BOUND.value)
def check_key_binding(index: RecordIndex) -> Iterator[Violation]:
    """Requests run for their key's account, no backend server sees keys, withdrawn ones stop."""
    invariant = Invariant.KEY_BOUND
    owners = {what.request: what.owner for _, what in index.select(CallerSent)}
    digests = {what.request: what.key_digest for _, what in index.select(CallerSent)}
    withdrawn = _find_withdrawals(index)
    accounts = [(e, what.request, what.account) for e, what in index.select(RequestAccepted)]
    accounts += [(e, what.request, what.account) for e, what in index.select(BackendRun)]
    for event, request, account in accounts:
        if account is not None and owners.get(request, account) != account:
            text = f"ran for {account}, which is not its key's account"
            yield Violation(invariant, event.at, request, text)
    kinds: tuple[type[RequestEventData], ...] = (RequestAccepted, BackendReceived)
    for kind in kinds:
        for event, what in index.select(kind):
            digest = digests.get(what.request)
            since = withdrawn.get(digest) if digest is not None else None
            if since is not None and event.at > since + IN_FORCE_WITHIN:
                text = f"was taken at {event.host} after its key was withdrawn"
                yield Violation(invariant, event.at, what.request, text)
    for event, received in index.select(BackendReceived):
        if received.saw_key:
            text = f"{received.backend} saw its key"
            yield Violation(invariant, event.at, received.request, text)


class _AccountBudget:
    """Requests and tokens that an account may still be granted at once, over the whole fleet."""

    def __init__(self, at: datetime, rate: Rate) -> None:
        self._at = at
        self._rate = rate
        self._before = rate
        self._changed = at
        self.requests = rate.request_burst
        self.tokens = rate.token_burst

    def change(self, at: datetime, rate: Rate) -> None:
        """Take a new rate; the old one may be used until it is in force everywhere."""
        self.add(at, 0, 0)
        if rate != self._rate:
            self._before, self._rate, self._changed = self._rate, rate, at
            self.requests += max(0.0, rate.request_burst - self._before.request_burst)
            self.tokens += max(0.0, rate.token_burst - self._before.token_burst)

    def add(self, at: datetime, requests: float, tokens: float) -> None:
        """Refill up to *at* and add."""
        old = self._before if at <= self._changed + IN_FORCE_WITHIN else self._rate
        new, seconds = self._rate, (at - self._at).total_seconds()
        per_second = max(old.requests_per_second, new.requests_per_second)
        most = max(old.request_burst, new.request_burst)
        self.requests = min(most, self.requests + per_second * seconds + requests)
        per_second = max(old.tokens_per_second, new.tokens_per_second)
        most = max(old.token_burst, new.token_burst)
        self.tokens = min(most, self.tokens + per_second * seconds + tokens)
        self._at = at

    def is_overdrawn(self) -> bool:
        """Tell whether more was granted than rate and burst allow."""
        requests = self.requests + _ROUNDING * self._rate.request_burst
        return requests < 0 or self.tokens + _ROUNDING * self._rate.token_burst < 0


@INVARIANT_CHECKS.register(Invariant.RATE_KEPT.value)
def check_rates(index: RecordIndex) -> Iterator[Violation]:
    """The grants to an account, summed over all hosts, stay within its rate and burst."""
    buckets: dict[AccountId, _AccountBudget] = {}
    for event in index.events:
        what = event.data
        if isinstance(what, DocumentAccepted):
            _change_rates(buckets, event.at, what.document)
        elif isinstance(what, TokensReturned) and what.account in buckets:
            buckets[what.account].add(event.at, what.requests, what.tokens)
        elif isinstance(what, TokensGranted) and what.account in buckets:
            bucket = buckets[what.account]
            bucket.add(event.at, 0, 0)
            bucket.requests -= what.requests
            bucket.tokens -= what.tokens
            if bucket.is_overdrawn():
                text = f"got more than its rate by a grant at {event.host}"
                yield Violation(Invariant.RATE_KEPT, event.at, what.account, text)


@INVARIANT_CHECKS.register(Invariant.LEAVING_NO_WORK.value)
def check_leaving_hosts(index: RecordIndex) -> Iterator[Violation]:
    """A leaving backend server receives no new work after a few seconds."""
    for event, _ in index.select(HostLeaving):
        gone = index.find_end_of_life(event.host, event.at) or index.end
        for work, what in index.select(BackendReceived):
            late = event.at + LEAVING_WITHIN < work.at <= gone
            if work.host == event.host and late:
                text = f"reached {event.host}, which is leaving"
                yield Violation(Invariant.LEAVING_NO_WORK, work.at, what.request, text)


@INVARIANT_CHECKS.register(Invariant.DOCUMENT_MONOTONE.value)
def check_document_versions(index: RecordIndex) -> Iterator[Violation]:
    """An accepted document is soon in force on every reachable host and never reverts."""
    invariant = Invariant.DOCUMENT_MONOTONE
    highest: dict[HostId, DocumentVersion] = {}
    for event, what in index.select(DocumentInForce):
        if what.version < highest.get(event.host, what.version):
            text = f"went back from {highest[event.host]} to {what.version}"
            yield Violation(invariant, event.at, event.host, text)
        highest[event.host] = max(what.version, highest.get(event.host, what.version))
    for accepted, document in index.select(DocumentAccepted):
        latest = accepted.at + IN_FORCE_WITHIN
        if latest > index.end:
            continue
        for host in _find_hosts(index, accepted.at, latest):
            if not _works_by(index, host, document.version, latest):
                text = f"does not work by {document.version} in time"
                yield Violation(invariant, latest, host, text)


def _works_by(index: RecordIndex, host: HostId, version: DocumentVersion, latest: datetime) -> bool:
    return any(
        event.host == host and what.version >= version and event.at <= latest
        for event, what in index.select(DocumentInForce)
    )


def _find_hosts(index: RecordIndex, start: datetime, end: datetime) -> list[HostId]:
    """Return the hosts that live through the whole time."""
    hosts: dict[HostId, Event] = {}
    broken: set[HostId] = set()
    for event in index.events:
        if not isinstance(event.data, HostStarted | HostLost | HostStopped):
            continue
        if event.at <= start:
            hosts[event.host] = event
        elif event.at <= end:
            broken.add(event.host)
    return [
        host
        for host, event in hosts.items()
        if isinstance(event.data, HostStarted) and host not in broken
    ]


def _find_withdrawals(index: RecordIndex) -> dict[KeyDigest, datetime]:
    """Return since when each key that some document held is held by none."""
    withdrawn: dict[KeyDigest, datetime] = {}
    before: set[KeyDigest] = set()
    for event, what in index.select(DocumentAccepted):
        now = {key for account in what.document.accounts for key in account.keys}
        withdrawn.update(dict.fromkeys(before - now, event.at))
        for key in now:
            withdrawn.pop(key, None)
        before = now
    return withdrawn


def _change_rates(
    buckets: dict[AccountId, _AccountBudget], at: datetime, document: Document
) -> None:
    for account in document.accounts:
        if account.id in buckets:
            buckets[account.id].change(at, account.rate)
        else:
            buckets[account.id] = _AccountBudget(at, account.rate)
