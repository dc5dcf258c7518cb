from __future__ import annotations

from datetime import UTC, datetime, timedelta

from lavenderrun.decisions import DocumentFreshness, FreshnessRules, choose_voters, has_majority
from lavenderrun.types import (
    Backend,
    BackendId,
    BackendRole,
    DataCentre,
    Document,
    ServiceGroup,
)

BOOT = datetime(2026, 1, 1, tzinfo=UTC)
RULES = FreshnessRules()
MOMENT = timedelta(milliseconds=1)


def test_proof_from_before_the_boot_is_ignored() -> None:
    lease = DocumentFreshness(BOOT, RULES)
    assert not lease.note_proof(BOOT - MOMENT)
    assert not lease.is_fresh(BOOT)
    assert lease.note_proof(BOOT)


def test_the_lease_ends_at_its_limit_and_an_older_proof_does_not_shorten_it() -> None:
    lease = DocumentFreshness(BOOT, RULES)
    lease.note_proof(BOOT + MOMENT)
    assert not lease.note_proof(BOOT)
    assert lease.is_fresh(BOOT + MOMENT + RULES.limit)
    assert not lease.is_fresh(BOOT + 2 * MOMENT + RULES.limit)


def test_a_restarted_host_votes_only_after_the_window_of_submissions() -> None:
    lease = DocumentFreshness(BOOT, RULES)
    lease.note_proof(BOOT + RULES.window - MOMENT)
    assert not lease.may_vote
    lease.note_proof(BOOT + RULES.window)
    assert lease.may_vote


def test_voters_are_few_and_spread_over_the_data_centres() -> None:
    document = Document(
        backends=[
            Backend(
                id=BackendId(f"b{n}"),
                group=ServiceGroup("g"),
                role=BackendRole.PLAIN,
                data_centre=DataCentre(f"dc{n % 3}" if n < 30 else "dc0"),
                agent=f"127.0.0.1:{7000 + n}",
            )
            for n in range(600)
        ]
    )
    data_centres = {backend.id: backend.data_centre for backend in document.backends}
    voters = choose_voters(document)
    assert (
        sorted(data_centres[voter] for voter in voters) == ["dc0"] * 3 + ["dc1"] * 3 + ["dc2"] * 3
    )
    assert choose_voters(Document()) == frozenset()
    assert not has_majority(frozenset(), set())
    assert not has_majority(voters, set(sorted(voters)[:4]))
    assert has_majority(voters, set(sorted(voters)[:5]))
