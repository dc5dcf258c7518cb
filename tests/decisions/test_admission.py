from __future__ import annotations

from datetime import UTC, datetime
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavenderrun.decisions import AdmissionIndex, digest_key
from lavenderrun.types import (
    Account,
    AccountId,
    AdmittedModel,
    AdmittedPlain,
    Document,
    ModelName,
    ModelRequest,
    ModelRoute,
    Outcome,
    PlainRequest,
    PlainRoute,
    Rate,
    Refusal,
    Refused,
    RequestId,
    RouteName,
    ServiceGroup,
)

NOW = datetime(2026, 1, 1, tzinfo=UTC)
RATE = Rate(requests_per_second=1, request_burst=1, tokens_per_second=1, token_burst=1)


def make_account(name: str) -> Account:
    return Account(id=AccountId(name), rate=RATE, keys=[digest_key(f"key-{name}")])


def make_plain(name: str, prefix: str, **fields: Any) -> PlainRoute:
    return PlainRoute(
        name=RouteName(name), prefix=prefix, service=ServiceGroup("desk"), max_body=4, **fields
    )


def make_index(accounts: int = 2) -> AdmissionIndex:
    return AdmissionIndex(
        Document(
            accounts=[make_account(f"a{n}") for n in range(accounts)],
            model_routes=[
                ModelRoute(name=RouteName("m"), model=ModelName("acta")),
                ModelRoute(
                    name=RouteName("n"), model=ModelName("norm"), accounts=[AccountId("a1")]
                ),
            ],
            plain_routes=[
                make_plain("all", "/", open=True),
                make_plain("orders", "/orders", methods=["GET", "POST"]),
                make_plain("confirm", "/orders/confirm", accounts=[AccountId("a1")]),
            ],
        )
    )


INDEX = make_index()


def make_model_request(key: str | None, model: str = "acta", prompt: str = "p") -> ModelRequest:
    return ModelRequest(RequestId("r"), key, ModelName(model), prompt, 5, NOW)


def make_plain_request(
    key: str | None, path: str, method: str = "GET", body: bytes = b""
) -> PlainRequest:
    return PlainRequest(RequestId("r"), key, method, path, [], body, NOW)


@pytest.mark.parametrize(
    ("request_", "refusal"),
    [
        (make_model_request(None), Refusal.NO_KEY),
        (make_model_request(""), Refusal.UNKNOWN_KEY),
        (make_model_request("k" * 1000), Refusal.UNKNOWN_KEY),
        (make_model_request("key-a0\ud800"), Refusal.UNKNOWN_KEY),
        (make_model_request("key-a0", "other"), Refusal.UNKNOWN_MODEL),
        (make_model_request("key-a0", "norm"), Refusal.ROUTE_NOT_ALLOWED),
    ],
)
def test_model_requests_are_refused_as_not_run(request_: ModelRequest, refusal: Refusal) -> None:
    refused = INDEX.admit_model(request_)
    assert isinstance(refused, Refused)
    assert (refused.refusal, refused.outcome) == (refusal, Outcome.NOT_RUN)


@pytest.mark.parametrize(
    ("request_", "refusal"),
    [
        (make_plain_request(None, "/orders"), Refusal.NO_KEY),
        (make_plain_request("x", "/orders/1?a=b"), Refusal.UNKNOWN_KEY),
        (make_plain_request("key-a0", "/orders/confirm/"), Refusal.ROUTE_NOT_ALLOWED),
        (make_plain_request("key-a0", "/orders", "PUT"), Refusal.UNKNOWN_PATH),
        (make_plain_request("key-a0", "/orders", "POST", b"12345"), Refusal.TOO_LARGE),
        (make_plain_request(None, "/public/../orders"), Refusal.BAD_REQUEST),
        (make_plain_request(None, "/public/%2e%2E/orders"), Refusal.BAD_REQUEST),
        (make_plain_request(None, "/public%2forders"), Refusal.BAD_REQUEST),
        (make_plain_request(None, "//orders"), Refusal.BAD_REQUEST),
        (make_plain_request(None, "/a\\..\\orders"), Refusal.BAD_REQUEST),
        (make_plain_request(None, "/%6frders"), Refusal.NO_KEY),
        (make_plain_request(None, "orders"), Refusal.BAD_REQUEST),
        (make_plain_request(None, "/%ff"), Refusal.BAD_REQUEST),
    ],
)
def test_plain_calls_are_refused_as_not_run(request_: PlainRequest, refusal: Refusal) -> None:
    refused = INDEX.admit_plain(request_)
    assert isinstance(refused, Refused)
    assert (refused.refusal, refused.outcome) == (refusal, Outcome.NOT_RUN)


def test_longest_prefix_of_whole_segments_wins() -> None:
    found = {
        path: INDEX.admit_plain(make_plain_request("key-a1", path))
        for path in ("/", "/ordersx", "/orders", "/orders/1", "/orders/confirm/2?x=/..")
    }
    names = [a.route.name for a in found.values() if isinstance(a, AdmittedPlain)]
    assert names == ["all", "all", "orders", "orders", "confirm"]


def test_an_open_route_needs_and_uses_no_key() -> None:
    for key in (None, "wrong", "key-a1"):
        admission = INDEX.admit_plain(make_plain_request(key, "/public"))
        assert isinstance(admission, AdmittedPlain)
        assert admission.account is None
        assert admission.digest is None


def test_fingerprint_depends_on_account_route_and_content() -> None:
    requests = [("key-a0", "acta", "p"), ("key-a1", "acta", "p"), ("key-a1", "norm", "p")]
    requests += [("key-a1", "norm", "q")]
    found = [INDEX.admit_model(make_model_request(*request)) for request in requests]
    fingerprints = {a.fingerprint for a in found if isinstance(a, AdmittedModel)}
    assert len(fingerprints) == 4
    assert INDEX.admit_model(make_model_request(*requests[0])) == found[0]


@given(st.text(), st.text(max_size=40))
def test_any_key_and_path_give_a_decision(key: str, path: str) -> None:
    for target in (path, f"/{path}"):
        found = INDEX.admit_plain(make_plain_request(key, target))
        assert isinstance(found, AdmittedPlain | Refused)
        if isinstance(found, AdmittedPlain):
            assert found.route.open


@pytest.mark.parametrize("accounts", [5, 210])
def test_model_request_admission(benchmark: Any, accounts: int) -> None:
    index = make_index(accounts)
    found = benchmark(index.admit_model, make_model_request(f"key-a{accounts - 1}"))
    assert found.account == f"a{accounts - 1}"


@pytest.mark.parametrize("accounts", [5, 210])
def test_index_construction(benchmark: Any, accounts: int) -> None:
    assert len(benchmark(make_index, accounts).digests) == accounts


def test_request_values_stay_out_of_representations() -> None:
    request = make_model_request("marker-key", prompt="marker-body")
    assert "marker" not in repr(request) + repr(INDEX.admit_model(request))
