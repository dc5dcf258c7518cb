"""Accounts within their rate are not refused in load and faults, and nobody gets more."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest
from limit_fleet import ACCOUNT, Net

from lavenderrun.types import AccountId, Rate

RATE = Rate(requests_per_second=20, request_burst=60, tokens_per_second=4000.0, token_burst=40000.0)
LOAD = 0.85
MEAN_USED = 480.0


def drive(
    net: Net, seconds: float, random_source: Random, *, entry: str = "", over: str = ""
) -> None:
    """Send each account's requests at 85% of its rate, five times as many for *over*."""
    accounts = list(net.rates)
    rates = [LOAD * 4000 / MEAN_USED * (5 if name == over else 1) for name in accounts]
    end = net.reactor.seconds() + seconds
    while net.reactor.seconds() < end:
        net.run(random_source.expovariate(sum(rates)))
        account = random_source.choices(accounts, rates)[0]
        live = sorted(name for name, host in net.hosts.items() if host.paused_at is None)
        tokens, lasts = random_source.uniform(300, 900), random_source.uniform(0.5, 4)
        name = entry or random_source.choice(live)
        net.charge(name, tokens, patience=5, used=0.8, lasts=lasts, account=account)


def suffer_outage(net: Net, random_source: Random) -> None:
    net.set_store(down=True)
    drive(net, 300, random_source)
    net.set_store(down=False)
    drive(net, 10, random_source)


def suffer_pause(net: Net, random_source: Random) -> None:
    net.hosts["e1"].pause()
    drive(net, 20, random_source)
    net.hosts["e1"].resume()
    drive(net, 20, random_source)


def suffer_loss(net: Net, random_source: Random) -> None:
    net.kill("e1")
    drive(net, 40, random_source)


def suffer_stop(net: Net, random_source: Random) -> None:
    net.stop("e1")
    drive(net, 20, random_source)
    net.start("e1")
    drive(net, 20, random_source)


CASES: dict[str, Callable[[Net, Random], None]] = {
    "normal": lambda net, random_source: drive(net, 40, random_source),
    "one_entry": lambda net, random_source: drive(net, 40, random_source, entry="e0"),
    "outage": suffer_outage,
    "pause": suffer_pause,
    "loss": suffer_loss,
    "stop": suffer_stop,
    "over_rate": lambda net, random_source: drive(net, 40, random_source, over="account1"),
}


def run_case(case: str, policy: str) -> Net:
    net = Net(3, RATE, policy=policy, accounts=5)
    net.run(6)
    random_source = Random(7)
    drive(net, 5, random_source)
    CASES[case](net, random_source)
    net.run(6)
    return net


@pytest.mark.parametrize("case", CASES)
def test_no_account_within_its_rate_is_refused_and_none_gets_more(case: str) -> None:
    net = run_case(case, "slots")
    over = AccountId("account1") if case == "over_rate" else None
    assert [refused for refused in net.refused if refused[1] != over] == []
    assert max(net.find_excess(account) for account in net.rates) <= 1e-3


def test_baselines_refuse_where_slots_do_not() -> None:
    static = run_case("one_entry", "static")
    assert len(static.refused) > 0.2 * static.asked
    stored = run_case("outage", "store_lease")
    assert len(stored.refused) > 0.5 * stored.asked


def test_request_beyond_the_burst_is_refused_at_once() -> None:
    net = Net(1, RATE)
    net.run(6)
    net.charge("e0", 40001.0, patience=5)
    assert net.refused[0][2].detail == "it asks for more than the account's burst"
    assert ACCOUNT not in net.grants
