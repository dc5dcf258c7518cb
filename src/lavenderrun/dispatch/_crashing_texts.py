"""Finds texts inside prompts that crash the backend servers that answer them.

The parts of a prompt are not always given: a crashing text may lie anywhere in a line. So each
crash keeps the texts of a request that had not begun to be answered, and an answer takes its own
texts out of all crashes of requests sent before. What several crashes have in common is suspect.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from typing import Final

from lavenderrun.dispatch._crash_evidence import (
    CRASH_LIMIT,
    MAX_EVIDENCE_AGE,
    QUARANTINE_TIME,
    SINGLE_CRASH_LIFETIME,
    ServerCrash,
    is_age,
    is_id,
    to_age,
)
from lavenderrun.dispatch._crashing_parts import MAX_CRASHES_ONCE_ANSWERED
from lavenderrun.dispatch._text_probes import find_probe_pause
from lavenderrun.types import Incarnation, TextId

MAX_TEXT_CRASHES: Final = 32
"""Crashes kept; those that have least in common with others, then the oldest, are dropped first."""

MAX_TEXTS_OF_CRASH: Final = 2048
"""Texts kept of one crash."""

MAX_ANSWERED_TEXTS: Final = 16_384
"""Texts kept that were answered; those answered longest ago are dropped first."""

LEARNING_INTERVAL: Final = timedelta(seconds=1)
"""Time from which the texts of the next answered request are kept without a crash."""

DROP_INTERVAL: Final = timedelta(seconds=1)
"""Time between two searches for crashes that count no more."""


@dataclass
class _TextCrash:
    """A crash and the texts that may be its cause."""

    crash: ServerCrash
    texts: set[TextId]


@dataclass(frozen=True)
class _CrashIndex:
    """Texts by the groups of crashes that have them, as one bit a group.

    Crashes of requests that ran at the same time may have one cause, and so are one group.

    :param last_ends: the last end of a server in each group.
    :param groups: for each text that is in enough groups, the groups that have it.
    :param counts: number of texts for each set of groups.
    """

    last_ends: Sequence[datetime]
    groups: Mapping[TextId, int]
    counts: Mapping[int, int]

    def find_last_end(self, groups: int) -> datetime:
        """Return the last end of a server in any of *groups*."""
        return self.last_ends[groups.bit_length() - 1]


@dataclass(frozen=True)
class TextReport:
    """What a host tells the others about texts of prompts; times are seconds ago.

    :param crashes: each with its server, the times at which the request was sent and at which the
        server ended, and the texts that may be the cause.
    :param answered: texts of several crashes that were answered, and when.
    """

    crashes: Sequence[tuple[Incarnation, float, float, Sequence[TextId]]] = ()
    answered: Mapping[TextId, float] = field(default_factory=dict)


class CrashingTexts:
    """Collects evidence of this host and of others about texts of prompts."""

    def __init__(self) -> None:
        self._crashes: list[_TextCrash] = []
        self._counts: Counter[TextId] = Counter()
        self._index: _CrashIndex | None = None
        self._answered: dict[TextId, datetime] = {}
        self._next_learning = self._next_drop = datetime.min.replace(tzinfo=UTC)

    def needs_answer(self, now: datetime) -> bool:
        """Tell whether the texts of a request that begins to be answered are of use."""
        return self._next_learning <= now or self.has_suspects(now)

    def has_suspects(self, now: datetime) -> bool:
        """Tell whether any text may be the cause of a crash."""
        self._drop_old(now)
        return bool(self._crashes)

    def record_crash(self, texts: Iterable[TextId], crash: ServerCrash, now: datetime) -> bool:
        """Count a crash of a server before it began to answer a request with *texts*.

        It says nothing about a text that was answered after the request was sent.

        :return: whether it says anything new.
        """
        self._drop_old(now)
        return self._add(texts, crash)

    def _add(self, texts: Iterable[TextId], crash: ServerCrash) -> bool:
        if any(crash.is_same(known.crash) for known in self._crashes):
            return False
        suspects = {text for text in texts if not self._is_answered(text, crash.sent)}
        if not suspects:
            return False
        self._crashes.append(_TextCrash(crash, suspects))
        self._crashes.sort(key=lambda each: each.crash.ended)
        self._counts.update(suspects)
        self._index = None
        while len(self._crashes) > MAX_TEXT_CRASHES:
            self._drop(min(self._crashes, key=self._count_common))
        return True

    def record_answer(self, texts: Collection[TextId], now: datetime) -> list[TextId]:
        """Clear *texts*, as a request with them begins to be answered.

        :return: the texts that were in several crashes, of which other hosts are told.
        """
        cleared = [text for text in texts if self._counts.get(text, 0) > 1]
        self._clear(texts, now)
        if self._next_learning <= now:
            self._next_learning = now + LEARNING_INTERVAL
            for text in texts:
                self._keep_answered(text, now)
        return cleared[:MAX_TEXTS_OF_CRASH]

    def find_crashing(self, texts: Collection[TextId], now: datetime) -> TextId | None:
        """Return a text because of which a request with *texts* is refused, ``None`` without one.

        A request is refused if it has all that the separate crashes of a text have in common: what
        it does not have may be the cause. Of several, the one probed last is returned.
        """
        self._drop_old(now)
        suspects = [text for text in texts if self._counts.get(text, 0) >= CRASH_LIMIT]
        if not suspects:
            return None
        index = self._find_index()
        covered = Counter(index.groups[text] for text in texts if text in index.groups)
        lacking = [
            groups for groups, count in index.counts.items() if covered.get(groups, 0) < count
        ]
        found: dict[int, TextId] = {}
        for text in sorted(suspects):
            groups = index.groups.get(text, 0)
            # servers that crash without the text, too, crash for another reason
            span = groups // (groups & -groups or 1)
            is_unsure = text in self._answered or span & (span + 1) != 0
            limit = MAX_CRASHES_ONCE_ANSWERED if is_unsure else CRASH_LIMIT
            if groups.bit_count() >= limit:
                found.setdefault(groups, text)
        matching: list[TextId] = []
        for groups, text in found.items():
            has_all = not any(groups & others == groups for others in lacking)
            if has_all and now - index.find_last_end(groups) < QUARANTINE_TIME:
                matching.append(text)
        return max(matching, key=self.find_next_probe, default=None)

    def find_next_probe(self, text: TextId) -> datetime:
        """Return from when on a single request with a refused text may be sent."""
        index = self._find_index()
        groups = index.groups.get(text, 0)
        if not groups:
            return datetime.min.replace(tzinfo=UTC)
        return index.find_last_end(groups) + find_probe_pause(groups.bit_count())

    def count_crashes(self, text: TextId) -> int:
        """Return how many lost requests a text may have been the cause of."""
        return self._counts.get(text, 0)

    def make_report(self, now: datetime) -> TextReport:
        """Return all that other hosts are told."""
        return TextReport([self._describe(known, now) for known in self._crashes])

    def make_crash_report(self, server: Incarnation, now: datetime) -> TextReport:
        """Return what other hosts are told of the crashes of one server."""
        found = [known for known in self._crashes if known.crash.server == server]
        return TextReport([self._describe(known, now) for known in found])

    def apply_report(self, report: TextReport, now: datetime) -> bool:
        """Take over another host's evidence; return whether it has a crash not known before.

        Entries beyond the bounds of a report, or with times that cannot be, are left out.
        """
        for text, age in list(report.answered.items())[:MAX_TEXTS_OF_CRASH]:
            if is_age(age):
                answered = now - timedelta(seconds=age)
                self._keep_answered(text, answered)
                self._clear([text], answered)
        is_new = False
        for server, sent, ended, texts in report.crashes[:MAX_TEXT_CRASHES]:
            if is_id(server) and is_age(sent) and is_age(ended) and ended <= sent:
                crash = ServerCrash(
                    server, now - timedelta(seconds=sent), now - timedelta(seconds=ended)
                )
                is_new = self._add(texts[:MAX_TEXTS_OF_CRASH], crash) or is_new
        # only now: a single crash counts for a shorter time
        self._drop_old(now)
        return is_new

    def _find_index(self) -> _CrashIndex:
        if self._index is None:
            self._index = _make_index(self._crashes)
        return self._index

    def _describe(
        self, known: _TextCrash, now: datetime
    ) -> tuple[Incarnation, float, float, Sequence[TextId]]:
        crash = known.crash
        texts = sorted(known.texts)
        return crash.server, to_age(crash.sent, now), to_age(crash.ended, now), texts

    def _is_answered(self, text: TextId, sent: datetime) -> bool:
        answered = self._answered.get(text)
        return answered is not None and answered >= sent

    def _keep_answered(self, text: TextId, answered: datetime) -> None:
        known = self._answered.pop(text, answered)
        self._answered[text] = max(known, answered)
        while len(self._answered) > MAX_ANSWERED_TEXTS:
            del self._answered[next(iter(self._answered))]

    def _clear(self, texts: Iterable[TextId], answered: datetime) -> None:
        suspects = [text for text in texts if text in self._counts]
        for text in suspects:
            self._keep_answered(text, answered)
        for known in self._crashes:
            if known.crash.sent <= answered:
                for text in known.texts.intersection(suspects):
                    self._forget(known, text)
        self._crashes = [known for known in self._crashes if known.texts]

    def _forget(self, known: _TextCrash, text: TextId) -> None:
        known.texts.discard(text)
        self._index = None
        self._counts[text] -= 1
        if not self._counts[text]:
            del self._counts[text]

    def _count_common(self, known: _TextCrash) -> int:
        return max(self._counts[text] for text in known.texts)

    def _drop(self, known: _TextCrash) -> None:
        self._crashes.remove(known)
        for text in list(known.texts):
            self._forget(known, text)

    def _drop_old(self, now: datetime) -> None:
        if now < self._next_drop:
            return
        self._next_drop = now + DROP_INTERVAL
        for known in list(self._crashes):
            age = now - known.crash.ended
            is_single = age >= SINGLE_CRASH_LIFETIME and self._count_common(known) == 1
            if is_single or age >= MAX_EVIDENCE_AGE:
                self._drop(known)


def _make_index(crashes: Iterable[_TextCrash]) -> _CrashIndex:
    """Return the index of *crashes*, which are in the order of their ends."""
    last_ends: list[datetime] = []
    groups: dict[TextId, int] = {}
    first_end: datetime | None = None
    for known in crashes:
        if first_end is None or known.crash.sent > first_end:
            first_end = known.crash.ended
            last_ends.append(first_end)
        last_ends[-1] = known.crash.ended
        bit = 1 << len(last_ends) - 1
        for text in known.texts:
            groups[text] = groups.get(text, 0) | bit
    enough = {text: each for text, each in groups.items() if each.bit_count() >= CRASH_LIMIT}
    return _CrashIndex(last_ends, enough, Counter(enough.values()))
