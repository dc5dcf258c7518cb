"""Replies of ended calls, kept on their agent."""

from __future__ import annotations

from datetime import timedelta

from lavenderrun.decisions import JobKey
from lavenderrun.kernel import Clock, Timer
from lavenderrun.services._plain_job import PlainJob

MAX_KEPT_BYTES = 16 << 20
MAX_KEPT_REPLIES = 4096
REPLY_RETENTION = timedelta(seconds=10)
OUTCOME_RETENTION = timedelta(seconds=120)


class KeptReplies:
    """Ended calls by key, bounded in time, number and bytes; the oldest are dropped first.

    The outcome of a call dropped early is reported as unknown, never as not run.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._jobs: dict[JobKey, PlainJob] = {}
        self._timers: dict[JobKey, Timer] = {}
        self._bytes = 0

    def add(self, job: PlainJob) -> None:
        """Keep an ended call, longer when it may not be repeated."""
        age = OUTCOME_RETENTION if job.is_at_most_once else REPLY_RETENTION
        self._jobs[job.key] = job
        self._timers[job.key] = self._clock.call_later(age, self.drop, job.key)
        self._bytes += job.kept_bytes
        while self._bytes > MAX_KEPT_BYTES or len(self._jobs) > MAX_KEPT_REPLIES:
            self.drop(next(iter(self._jobs)))

    def find(self, key: JobKey) -> PlainJob | None:
        """Return a kept call, ``None`` when there is none under *key*."""
        return self._jobs.get(key)

    def list_jobs(self) -> list[PlainJob]:
        """Return all kept calls, the oldest first."""
        return list(self._jobs.values())

    def drop(self, key: JobKey) -> None:
        """Drop a call; an unknown key is ignored."""
        job = self._jobs.pop(key, None)
        if job is not None:
            self._timers.pop(key).cancel()
            self._bytes -= job.kept_bytes

    def has_unread(self) -> bool:
        """Tell whether a connected entry has yet to acknowledge a whole reply."""
        return any(
            job.refused is None and job.link is not None and not job.is_acked
            for job in self._jobs.values()
        )
