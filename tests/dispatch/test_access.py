from __future__ import annotations

from datetime import timedelta

import pytest

from lavenderrun.dispatch import Access, RouteIndex, authorize_call, digest_key
from lavenderrun.types import (
    AccountId,
    CallerLimits,
    CallRoute,
    ClientAccount,
    Configuration,
    Delivery,
    DocumentVersion,
    Refusal,
    Repeatability,
    RouteName,
    ServiceGroup,
    WeightedService,
)

SECOND = timedelta(seconds=1)


def make_route(prefix: str, *, host: str = "a.example", is_open: bool = False) -> CallRoute:
    return CallRoute(
        RouteName(prefix),
        host,
        prefix,
        Repeatability.IDEMPOTENT,
        Delivery.WHOLE,
        resumable=False,
        timeout=SECOND,
        objective=SECOND,
        gap_objective=None,
        rank=1,
        attempts=2,
        open=is_open,
        services=(WeightedService(ServiceGroup("apps"), 1.0),),
    )


def configure(*routes: CallRoute, keys: tuple[str, ...] = ("k",)) -> Configuration:
    accounts = (ClientAccount(AccountId("a"), frozenset(map(digest_key, keys)), None, None),)
    limits = CallerLimits(1, SECOND)
    return Configuration(DocumentVersion(1), routes, {}, accounts if keys else (), limits)


def judge(found: Configuration, path: str, key: str | None, host: str = "a.example") -> object:
    return authorize_call(found, RouteIndex(found.routes), host, path, key)


def test_the_longest_prefix_of_the_host_wins() -> None:
    found = configure(make_route("/a/"), make_route("/a/b/"), make_route("/", host="b.example"))
    routes = RouteIndex(found.routes)
    assert [routes.find("A.example", path) for path in ("/a/x", "/a/b/x", "/a", "/c")] == [
        found.routes[0],
        found.routes[1],
        None,
        None,
    ]
    assert routes.find("b.example", "/a/x") is found.routes[2]


@pytest.mark.parametrize(
    ("path", "key", "expected"),
    [
        ("/none", "k", Refusal.UNKNOWN_PATH),
        ("/a/x", None, Refusal.NO_KEY),
        ("/a/x", "wrong", Refusal.UNKNOWN_KEY),
    ],
)
def test_what_is_not_allowed_is_refused(path: str, key: str | None, expected: Refusal) -> None:
    assert judge(configure(make_route("/a/")), path, key) is expected


def test_open_routes_and_deployments_without_accounts_need_no_key() -> None:
    found = configure(make_route("/a/", is_open=True))
    assert judge(found, "/a/x", "wrong") == Access(found.routes[0], None)
    found = configure(make_route("/a/"), keys=())
    assert judge(found, "/a/x", None) == Access(found.routes[0], None)
