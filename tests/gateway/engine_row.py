"""An engine as its row describes it."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta

from lavenderrun.types import (
    BackendId,
    BackendRole,
    DataCentre,
    Member,
    MemberState,
    ServiceGroup,
)

START = datetime(2026, 1, 1, tzinfo=UTC)
ENGINE = Member(
    BackendId("e1"),
    ServiceGroup("s"),
    "127.0.0.1:1",
    DataCentre("here"),
    BackendRole.DECODE,
    64,
    MemberState.READY,
    timedelta(0),
    1,
)
