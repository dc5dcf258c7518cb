from __future__ import annotations

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from lavenderrun.decisions import LinkSilence, weigh_link_silence

BUSY = timedelta(milliseconds=500)
INTERVAL = st.timedeltas(timedelta(milliseconds=1), timedelta(minutes=1))
ORDER = [LinkSilence.NONE, LinkSilence.QUIET, LinkSilence.SILENT, LinkSilence.LOST]


@given(INTERVAL, st.floats(0, 10), st.floats(0, 10))
def test_a_longer_silence_never_means_less(interval: timedelta, one: float, other: float) -> None:
    shorter, longer = sorted((one, other))
    meanings = [weigh_link_silence(interval * factor, interval) for factor in (shorter, longer)]
    assert ORDER.index(meanings[0]) <= ORDER.index(meanings[1])


@given(INTERVAL, st.floats(0, 2.9))
def test_fewer_than_three_intervals_lose_no_link(interval: timedelta, factor: float) -> None:
    assert weigh_link_silence(interval * factor, interval) is not LinkSilence.LOST


@given(INTERVAL, st.floats(0, 1.9))
def test_a_late_heartbeat_means_nothing(interval: timedelta, factor: float) -> None:
    assert weigh_link_silence(interval * factor, interval) is LinkSilence.NONE


def test_a_lost_link_is_known_within_two_seconds() -> None:
    assert weigh_link_silence(timedelta(seconds=1.95), BUSY) is LinkSilence.LOST
