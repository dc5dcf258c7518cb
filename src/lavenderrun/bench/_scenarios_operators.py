"""Scenarios in which operators change the document, or a request crashes engines."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from lavenderrun.bench._callers import Observation
from lavenderrun.bench._deployments import PromptMix
from lavenderrun.bench._fleet import Fleet
from lavenderrun.bench._hosts import BenchHost
from lavenderrun.bench._scenarios import SCENARIOS, Plan, make_deployment
from lavenderrun.bench._workload import OfferedPrompt
from lavenderrun.standins import POISON_DECODE
from lavenderrun.types import AccountId, Document, DocumentConflict, Submitted

CHANGE_AT_SECONDS = 8.0
"""Time from the start of the load to the first change."""
WITHDRAWN_ACCOUNT = AccountId("itata")
RACE_COUNT = 4
RACE_INTERVAL_SECONDS = 4.0
POISON_ATTEMPTS = 8
POISON_INTERVAL_SECONDS = 2.5
POISON_AT_SECONDS = 5.0


@SCENARIOS.register("key-withdrawal")
def plan_key_withdrawal() -> Plan:
    """An account's API key is withdrawn, and the account keeps sending."""

    def script(fleet: Fleet) -> None:
        changed = _withdraw_key(fleet.document)
        fleet.at(CHANGE_AT_SECONDS, submit_document, fleet, fleet.entries[0], changed)

    def is_withdrawn(account: AccountId, at: float) -> bool:
        return account == WITHDRAWN_ACCOUNT and at >= CHANGE_AT_SECONDS

    return Plan(
        make_deployment("wire"), load=0.7, seconds=20.0, script=script, must_be_refused=is_withdrawn
    )


@SCENARIOS.register("document-race")
def plan_document_race() -> Plan:
    """Two operators repeatedly submit different documents at once; some store replies are lost."""

    def script(fleet: Fleet) -> None:
        for race in range(RACE_COUNT):
            fleet.at(
                CHANGE_AT_SECONDS + race * RACE_INTERVAL_SECONDS, _submit_concurrently, fleet, race
            )

    seconds = CHANGE_AT_SECONDS + RACE_COUNT * RACE_INTERVAL_SECONDS
    return Plan(make_deployment("wire"), load=0.7, seconds=seconds, script=script)


@SCENARIOS.register("crashing-request")
def plan_crashing_request() -> Plan:
    """One request crashes every engine that decodes it, and its caller keeps sending it."""
    return _plan_poison(lambda _: f"certificate of heat 4711 {POISON_DECODE}")


@SCENARIOS.register("crashing-prompts")
def plan_crashing_prompts() -> Plan:
    """Unlike requests share a line of their prompts that crashes every engine that decodes it."""
    return _plan_poison(lambda number: f"{POISON_DECODE}\ncertificate of heat {number}")


@SCENARIOS.register("crashing-texts")
def plan_crashing_texts() -> Plan:
    """Unlike requests share a text inside a line of their prompts that crashes every engine."""
    return _plan_poison(lambda number: f"certificate {number} of {POISON_DECODE} heat {number}")


def _plan_poison(make_prompt: Callable[[int], str]) -> Plan:
    def script(fleet: Fleet) -> None:
        for number in range(POISON_ATTEMPTS):
            at = POISON_AT_SECONDS + number * POISON_INTERVAL_SECONDS
            fleet.at(at, _send_poison, fleet, number, make_prompt(number))

    mix = PromptMix(mean_own_tokens=700, max_tokens=8000)
    return Plan(make_deployment("wire", prompts=mix), load=0.4, seconds=30.0, script=script)


def _withdraw_key(document: Document) -> Document:
    accounts = [
        account.model_copy(update={"keys": []}) if account.id == WITHDRAWN_ACCOUNT else account
        for account in document.accounts
    ]
    return document.model_copy(update={"accounts": accounts})


def _submit_concurrently(fleet: Fleet, race: int) -> None:
    fleet.store_faults.lost_replies = race % 2
    for number, entry in enumerate(fleet.entries[:2]):
        share = 0.05 + 0.01 * race + 0.001 * number
        changed = fleet.document.model_copy(update={"retry_share": share})
        submit_document(fleet, entry, changed)


def submit_document(fleet: Fleet, entry: BenchHost, document: Document) -> None:
    """Submit a document at an entry and count the outcome."""
    keeper = entry.find("document")
    fleet.extra["submitted"] += 1
    done = keeper.submit(document, f"operator at {entry.host}", keeper.version)
    done.addCallbacks(
        _count_outcome, _count_unknown, callbackArgs=(fleet.extra,), errbackArgs=(fleet.extra,)
    )


def _count_outcome(outcome: Submitted | DocumentConflict, extra: Counter[str]) -> None:
    extra["accepted" if isinstance(outcome, Submitted) else "conflicts"] += 1


def _count_unknown(_: Any, extra: Counter[str]) -> None:
    extra["unknown"] += 1


def _send_poison(fleet: Fleet, number: int, prompt: str) -> None:
    offered = OfferedPrompt(
        number=-number,
        at=fleet.seconds,
        account=AccountId("maule"),
        in_rate=False,
        must_be_refused=True,
        prompt=prompt,
        max_tokens=50,
    )
    fleet.send(Observation(offered, fleet.find_targets(offered), fleet.clock.now()))
