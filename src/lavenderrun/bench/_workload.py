"""Generates the offered load: seeded arrival times, prompts and plain calls."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial

from lavenderrun.bench._deployments import Deployment, PlainMix
from lavenderrun.standins import count_tokens
from lavenderrun.types import AccountId, IdempotencyKey, Rate, Repeatability

CHARACTERS_PER_TOKEN = 4
_FILLER = "ladle heat cast coil die bath pass gauge "

TrafficShape = Callable[[AccountId, float], float]
"""Returns the factor on an account's traffic at a time in seconds from the start."""


@dataclass(frozen=True)
class Offered:
    """One request that a caller sends.

    :param at: seconds from the start of the load.
    :param in_rate: the account is within its rate and burst, this request included.
    :param must_be_refused: the request has to be refused, so goodput does not count it.
    """

    number: int
    at: float
    account: AccountId
    in_rate: bool
    must_be_refused: bool


@dataclass(frozen=True)
class OfferedPrompt(Offered):
    """An offered model request.

    :param max_tokens: output limit in tokens.
    """

    prompt: str
    max_tokens: int


@dataclass(frozen=True)
class OfferedCall(Offered):
    """An offered call to the plain service.

    :param answer: status and body of the only correct reply.
    """

    method: str
    path: str
    body: bytes
    repeatability: Repeatability
    idempotency_key: IdempotencyKey | None
    answer: str


class _RateMeter:
    """Token bucket of an account; a model request takes its prompt and its full output limit."""

    def __init__(self, rate: Rate) -> None:
        self._rate = rate
        self._at = 0.0
        self._requests = rate.request_burst
        self._tokens = rate.token_burst

    def take(self, at: float, tokens: float) -> bool:
        rate, elapsed = self._rate, at - self._at
        self._at = at
        self._requests = min(
            rate.request_burst, self._requests + elapsed * rate.requests_per_second
        )
        self._tokens = min(rate.token_burst, self._tokens + elapsed * rate.tokens_per_second)
        if self._requests < 1 or self._tokens < tokens:
            return False
        self._requests -= 1
        self._tokens -= tokens
        return True


class Workload:
    """Offered load of one run: a Poisson process for each account.

    :param load: model traffic as a share of the engines' capacity.
    :param shape: factor on an account's traffic over time.
    :param max_factor: upper bound of *shape*.
    :param must_be_refused: tells which requests have to be refused, by account and seconds.
    """

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        *,
        load: float,
        shape: TrafficShape | None = None,
        max_factor: float = 1.0,
        must_be_refused: Callable[[AccountId, float], bool] | None = None,
    ) -> None:
        self._deployment = deployment
        self._random = random.Random(f"workload-{seed}")
        self._model_rate = deployment.compute_capacity() * load
        self._shape = shape
        self._max_factor = max_factor
        self._must_be_refused = must_be_refused or (lambda account, at: False)
        self._meters = {
            name: _RateMeter(deployment.compute_rate(name)) for name in deployment.accounts
        }
        self._prefixes = {name: self._make_prefixes(name) for name in deployment.accounts}
        self._numbers = 0

    def offer(self, seconds: float) -> Iterator[Offered]:
        """Yield the requests of the first *seconds* in the order of their arrival."""
        accounts = list(self._deployment.accounts)
        shares = list(self._deployment.accounts.values())
        model, plain = self._model_rate, self._deployment.plain.per_second
        at = 0.0
        while True:
            at += self._random.expovariate((model + plain) * self._max_factor)
            if at >= seconds:
                return
            account = self._random.choices(accounts, shares)[0]
            factor = self._shape(account, at) if self._shape is not None else 1.0
            is_model = self._random.random() < model / (model + plain)
            if self._random.random() * self._max_factor < factor:
                yield self._make_prompt(at, account) if is_model else self._make_call(at, account)

    def _make_prompt(self, at: float, account: AccountId) -> OfferedPrompt:
        mix = self._deployment.prompts
        self._numbers += 1
        own = max(10, round(self._random.expovariate(1 / mix.mean_own_tokens)))
        text = ""
        if mix.prefix_tokens and self._random.random() < mix.prefix_share:
            text = self._random.choice(self._prefixes[account])
        own = min(own, mix.max_tokens - count_tokens(text))
        prompt = text + _make_text(f"{account} {self._numbers} ", own)
        tokens = count_tokens(prompt) + self._deployment.max_tokens
        in_rate = self._meters[account].take(at, tokens)
        must_be_refused = self._must_be_refused(account, at)
        return OfferedPrompt(
            self._numbers,
            at,
            account,
            in_rate,
            must_be_refused,
            prompt,
            self._deployment.max_tokens,
        )

    def _make_call(self, at: float, account: AccountId) -> OfferedCall:
        mix = self._deployment.plain
        self._numbers += 1
        number, in_rate = self._numbers, self._meters[account].take(at, 0)
        must_be_refused = self._must_be_refused(account, at)
        path = f"{mix.prefix}/{number}"
        if self._random.random() >= mix.at_most_once_share:
            repeatability, answer = Repeatability.IDEMPOTENT, _make_expected_reply(mix, number, 0)
            call = partial(
                OfferedCall, method="GET", path=path, body=b"", repeatability=repeatability
            )
            return call(
                number, at, account, in_rate, must_be_refused, idempotency_key=None, answer=answer
            )
        key = (
            IdempotencyKey(f"order-{number}")
            if self._random.random() < mix.idempotency_key_share
            else None
        )
        repeatability, answer = Repeatability.AT_MOST_ONCE, _make_expected_reply(mix, number, 1)
        path, body = f"{path}/{mix.action}", f"{mix.action} {number}".encode()
        call = partial(
            OfferedCall, method="POST", path=path, body=body, repeatability=repeatability
        )
        return call(
            number, at, account, in_rate, must_be_refused, idempotency_key=key, answer=answer
        )

    def _make_prefixes(self, account: AccountId) -> list[str]:
        return [
            _make_text(f"text {number} of {account} ", tokens)
            for number, tokens in enumerate(self._deployment.prompts.prefix_tokens)
        ]


def _make_expected_reply(mix: PlainMix, number: int, done: int) -> str:
    return f'200{{"{mix.resource_field}":"{number}","{mix.count_field}":{done}}}'


def _make_text(head: str, tokens: int) -> str:
    length = tokens * CHARACTERS_PER_TOKEN
    return (head + _FILLER * (length // len(_FILLER) + 1))[:length]
