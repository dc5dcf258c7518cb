from __future__ import annotations

from dataclasses import replace
from datetime import UTC, datetime, timedelta

from hypothesis import given
from hypothesis import strategies as st

from lavenderrun.dispatch import DepartureNotice, DepartureNotices
from lavenderrun.dispatch._departures import MAX_NOTICES
from lavenderrun.types import (
    BackendId,
    BackendRole,
    DataCentre,
    HostId,
    Incarnation,
    Member,
    MemberState,
    ServiceGroup,
)

LEAVING = MemberState.LEAVING
NOTICE = DepartureNotice(HostId("here"), datetime(2026, 1, 1, tzinfo=UTC))


def make_row(name: str, started: int, state: MemberState = MemberState.READY) -> Member:
    return Member(
        BackendId(name),
        ServiceGroup("s"),
        "127.0.0.1:1",
        DataCentre("here"),
        BackendRole.PLAIN,
        6,
        state,
        timedelta(0),
        started,
    )


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["notice", "ready", "draining", "removed", "restarted"]),
        st.sampled_from(["a", "b", "c"]),
    ),
    max_size=60,
)


@given(EVENTS)
def test_no_order_of_rows_takes_a_notice_back_before_the_server_starts_anew(
    events: list[tuple[str, str]],
) -> None:
    notices = DepartureNotices()
    started = dict.fromkeys("abc", 1)
    noticed: set[tuple[str, int]] = set()
    for event, name in events:
        if event == "restarted":
            started[name] += 1
        row = make_row(name, started[name])
        if event == "notice":
            notices.record([row.incarnation], NOTICE)
            noticed.add((name, started[name]))
        elif event == "removed":
            notices.forget_row(row.id)
        elif event == "draining":
            assert notices.apply(replace(row, state=MemberState.LEAVING)).state is LEAVING
        for key, run in started.items():
            is_leaving = notices.apply(make_row(key, run)).state is LEAVING
            assert is_leaving == ((key, run) in noticed)


def test_only_notices_that_rows_do_not_show_yet_are_told_to_others() -> None:
    notices = DepartureNotices()
    ready = make_row("a", 1)
    assert notices.record([ready.incarnation], NOTICE)
    assert not notices.record([ready.incarnation], NOTICE)
    notices.apply(ready)
    assert notices.list_ahead_of_rows() == [ready.incarnation]
    notices.apply(make_row("a", 1, MemberState.LEAVING))
    assert notices.list_ahead_of_rows() == []
    notices.apply(ready)
    notices.forget_row(ready.id)
    assert notices.list_ahead_of_rows() == []


def test_notices_are_bounded() -> None:
    notices = DepartureNotices()
    newest = make_row("newest", 1)
    notices.record((Incarnation(str(number)) for number in range(3 * MAX_NOTICES)), NOTICE)
    notices.record([newest.incarnation], NOTICE)
    assert len(notices._noticed) == MAX_NOTICES
    assert notices.apply(newest).state is MemberState.LEAVING


def test_the_first_notice_of_a_run_is_kept_and_the_next_run_has_none() -> None:
    notices = DepartureNotices()
    server = make_row("a", 1)
    notices.record([server.incarnation], NOTICE)
    later = DepartureNotice(HostId("there"), NOTICE.heard + timedelta(seconds=1))
    notices.record([server.incarnation], later)
    assert notices.find(server) == NOTICE
    assert notices.find(make_row("a", 2)) is None
