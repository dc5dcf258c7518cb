"""Offered requests: seeded arrivals, prompts and which of them are within the account's rate."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial

from lavenderrun.bench._deployments import Deployment, PlainMix
from lavenderrun.standins import count_tokens
from lavenderrun.types import AccountId, IdempotencyKey, Rate, Repeatability

CHARACTERS_A_TOKEN = 4
_FILLER = "ladle heat cast coil die bath pass gauge "

Shape = Callable[[AccountId, float], float]
"""Factor on an account's traffic at so many seconds from the start."""


@dataclass(frozen=True)
class Offered:
    """One request that a caller sends.

    :param at: seconds from the start.
    :param in_rate: the account has sent no more than rate and burst allow, with this one.
    :param barred: it has to be refused, so goodput does not count it.
    """

    number: int
    at: float
    account: AccountId
    in_rate: bool
    barred: bool


@dataclass(frozen=True)
class OfferedPrompt(Offered):
    """A model request."""

    prompt: str
    max_tokens: int


@dataclass(frozen=True)
class OfferedCall(Offered):
    """A call for a plain service.

    :param answer: status and body of the only right reply.
    """

    method: str
    path: str
    body: bytes
    repeatability: Repeatability
    idempotency_key: IdempotencyKey | None
    answer: str


class _Meter:
    """What an account may still send within its rate, all reservations counted whole."""

    def __init__(self, rate: Rate) -> None:
        self._rate = rate
        self._at = 0.0
        self._requests = rate.request_burst
        self._tokens = rate.token_burst

    def take(self, at: float, tokens: float) -> bool:
        rate, passed = self._rate, at - self._at
        self._at = at
        self._requests = min(rate.request_burst, self._requests + passed * rate.requests_per_second)
        self._tokens = min(rate.token_burst, self._tokens + passed * rate.tokens_per_second)
        if self._requests < 1 or self._tokens < tokens:
            return False
        self._requests -= 1
        self._tokens -= tokens
        return True


class Workload:
    """Arrivals of one run; Poisson for each account.

    :param load: model traffic as a share of capacity.
    :param shape: changes an account's traffic in time; *steepest* bounds it.
    :param barred: tells which requests have to be refused.
    """

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        *,
        load: float,
        shape: Shape | None = None,
        steepest: float = 1.0,
        barred: Callable[[AccountId, float], bool] | None = None,
    ) -> None:
        self._deployment = deployment
        self._random = random.Random(f"workload-{seed}")
        self._model_rate = deployment.find_capacity() * load
        self._shape = shape
        self._steepest = steepest
        self._barred = barred or (lambda account, at: False)
        self._meters = {name: _Meter(deployment.find_rate(name)) for name in deployment.accounts}
        self._texts = {name: self._write_texts(name) for name in deployment.accounts}
        self._numbers = 0

    def offer(self, seconds: float) -> Iterator[Offered]:
        """Yield requests in the order of their arrival."""
        accounts = list(self._deployment.accounts)
        shares = list(self._deployment.accounts.values())
        model, plain = self._model_rate, self._deployment.plain.per_second
        at = 0.0
        while True:
            at += self._random.expovariate((model + plain) * self._steepest)
            if at >= seconds:
                return
            account = self._random.choices(accounts, shares)[0]
            factor = self._shape(account, at) if self._shape is not None else 1.0
            is_model = self._random.random() < model / (model + plain)
            if self._random.random() * self._steepest < factor:
                yield self._make_prompt(at, account) if is_model else self._make_call(at, account)

    def _make_prompt(self, at: float, account: AccountId) -> OfferedPrompt:
        mix = self._deployment.prompts
        self._numbers += 1
        own = max(10, round(self._random.expovariate(1 / mix.short)))
        text = ""
        if mix.shared and self._random.random() < mix.share:
            text = self._random.choice(self._texts[account])
        own = min(own, mix.most - count_tokens(text))
        prompt = text + _fill(f"{account} {self._numbers} ", own)
        tokens = count_tokens(prompt) + self._deployment.max_tokens
        in_rate = self._meters[account].take(at, tokens)
        barred = self._barred(account, at)
        return OfferedPrompt(
            self._numbers, at, account, in_rate, barred, prompt, self._deployment.max_tokens
        )

    def _make_call(self, at: float, account: AccountId) -> OfferedCall:
        mix = self._deployment.plain
        self._numbers += 1
        number, in_rate = self._numbers, self._meters[account].take(at, 0)
        barred = self._barred(account, at)
        path = f"{mix.prefix}/{number}"
        if self._random.random() >= mix.once:
            again, answer = Repeatability.IDEMPOTENT, _expect_reply(mix, number, 0)
            call = partial(OfferedCall, method="GET", path=path, body=b"", repeatability=again)
            return call(number, at, account, in_rate, barred, idempotency_key=None, answer=answer)
        key = IdempotencyKey(f"order-{number}") if self._random.random() < mix.keyed else None
        once, answer = Repeatability.AT_MOST_ONCE, _expect_reply(mix, number, 1)
        path, body = f"{path}/{mix.verb}", f"{mix.verb} {number}".encode()
        call = partial(OfferedCall, method="POST", path=path, body=body, repeatability=once)
        return call(number, at, account, in_rate, barred, idempotency_key=key, answer=answer)

    def _write_texts(self, account: AccountId) -> list[str]:
        return [
            _fill(f"text {number} of {account} ", tokens)
            for number, tokens in enumerate(self._deployment.prompts.shared)
        ]


def _expect_reply(mix: PlainMix, number: int, done: int) -> str:
    return f'200{{"{mix.noun}":"{number}","{mix.done}":{done}}}'


def _fill(head: str, tokens: int) -> str:
    length = tokens * CHARACTERS_A_TOKEN
    return (head + _FILLER * (length // len(_FILLER) + 1))[:length]
