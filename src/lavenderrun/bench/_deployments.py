"""The two adopters' deployments at their stated sizes, and the traffic that they carry."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from lavenderrun.kernel import Registry
from lavenderrun.standins import EngineSpeed
from lavenderrun.types import (
    Account,
    AccountId,
    Backend,
    BackendId,
    BackendRole,
    DataCentre,
    Document,
    KeyDigest,
    LinkRate,
    Model,
    ModelName,
    ModelRoute,
    PlainRoute,
    Rate,
    Repeatability,
    RouteName,
    ServiceGroup,
    Targets,
)

BURST_SECONDS = 12.0
"""An account's burst, as seconds of its rate."""
RATE_HEADROOM = 1.3
"""An account's rate against its mean traffic at 85% of capacity."""
PEAK_LOAD = 0.85
LINK_RATE = 6e9
"""Bytes a second between and within data centres, each direction."""
PLAIN_TARGET = timedelta(milliseconds=300)
ENTRY_PORT = 7000
AGENT_PORT = 7100

Metres = dict[AccountId, float]


@dataclass(frozen=True)
class PromptMix:
    """Lengths of prompts in tokens.

    :param short: mean of the own part of a prompt; exponential.
    :param shared: lengths of the texts that an account's prompts begin with, one by chance.
    :param share: how many prompts begin with such a text.
    :param most: longest prompt.
    """

    short: int
    shared: tuple[int, ...] = ()
    share: float = 0.0
    most: int = 32000

    @property
    def mean(self) -> float:
        """Mean length in tokens."""
        shared = sum(self.shared) / len(self.shared) if self.shared else 0.0
        return self.short + self.share * shared


@dataclass(frozen=True)
class PlainMix:
    """Calls to the plain service.

    :param once: share of those that may not be repeated.
    :param verb: last part of the path of those that may not be repeated.
    :param noun: field of the reply that names what the call is about.
    :param done: field of the reply that counts what was done.
    :param keyed: share of those that may not be repeated which carry an idempotency key.
    """

    per_second: float
    once: float
    prefix: str
    verb: str
    noun: str
    done: str
    keyed: float = 0.5


@dataclass(frozen=True)
class Deployment:
    """One adopter's hosts, accounts and traffic.

    :param accounts: each client account with its share of the traffic.
    :param max_tokens: allowed output of a request.
    :param rate_factor: on all accounts' rates; calls for the plain service are never below one.
    :param entries: entry hosts, spread over the data centres.
    """

    name: str
    data_centres: tuple[DataCentre, ...]
    model: ModelName
    roles: tuple[BackendRole, ...]
    plain_group: ServiceGroup
    plain_backends: int
    accounts: dict[AccountId, float]
    prompts: PromptMix
    plain: PlainMix
    speed: EngineSpeed = field(default_factory=EngineSpeed)
    max_tokens: int = 400
    rate_factor: float = 1.0
    entries: int = 3

    @property
    def output_tokens(self) -> float:
        """Mean length of an answer: geometric, cut at *max_tokens*."""
        mean = self.speed.mean_tokens
        return mean * (1 - (1 - 1 / mean) ** self.max_tokens)

    def find_capacity(self) -> float:
        """Return the model requests a second that the engines can finish.

        Decode: all seats full, each held for the answer's steps at the full batch's step time.
        Prefill: one after another, with no prefix cached. The smaller of the two is the capacity.
        """
        speed = self.speed
        step = speed.time_step(speed.slots).total_seconds()
        decoders = self.roles.count(BackendRole.DECODE)
        held = self.output_tokens * step
        decode = decoders * speed.slots / held
        prefill_time = speed.time_prefill(round(self.prompts.mean)).total_seconds()
        prefill = self.roles.count(BackendRole.PREFILL) / prefill_time
        return min(decode, prefill)

    def find_rate(self, account: AccountId) -> Rate:
        """Return the account's rate and burst, with headroom over its share at the peak."""
        share = self.accounts[account] * RATE_HEADROOM
        model = self.find_capacity() * PEAK_LOAD * share * self.rate_factor
        requests = model + self.plain.per_second * share * max(1.0, self.rate_factor)
        tokens = model * (self.prompts.mean + self.max_tokens)
        # an account of any size may send a few of the longest requests at once
        longest = 2.0 * (self.prompts.most + self.max_tokens)
        return Rate(
            requests_per_second=requests,
            request_burst=max(10.0, BURST_SECONDS * requests),
            tokens_per_second=tokens,
            token_burst=max(longest, BURST_SECONDS * tokens),
        )

    def build_document(self) -> Document:
        """Return the document of the whole configuration."""
        return Document(
            accounts=[
                Account(id=name, rate=self.find_rate(name), keys=[digest_of(make_key(name))])
                for name in self.accounts
            ],
            models=[
                Model(
                    name=self.model,
                    prefill=self.roles.count(BackendRole.PREFILL),
                    decode=self.roles.count(BackendRole.DECODE),
                )
            ],
            model_routes=[
                ModelRoute(
                    name=RouteName(self.model),
                    model=self.model,
                    max_prompt_tokens=self.prompts.most,
                    max_output_tokens=self.max_tokens,
                )
            ],
            plain_routes=self._plain_routes(),
            backends=[*self._engines(), *self._plain()],
            links=[
                LinkRate(source=source, target=target, bytes_per_second=LINK_RATE)
                for source in self._engine_places()
                for target in self._engine_places()
            ],
        )

    def _plain_routes(self) -> list[PlainRoute]:
        targets = Targets(first_token=PLAIN_TARGET)
        group = self.plain_group
        return [
            PlainRoute(
                name=RouteName("read"),
                prefix=self.plain.prefix,
                service=group,
                methods=["GET"],
                targets=targets,
            ),
            PlainRoute(
                name=RouteName("write"),
                prefix=self.plain.prefix,
                service=group,
                methods=["POST"],
                targets=targets,
                repeatability=Repeatability.AT_MOST_ONCE,
            ),
        ]

    def _engine_places(self) -> tuple[DataCentre, ...]:
        return self.data_centres[: len(self.roles)]

    def _engines(self) -> list[Backend]:
        return [
            Backend(
                id=BackendId(f"{self.model}-{number}"),
                group=ServiceGroup(self.model),
                role=role,
                data_centre=self.data_centres[number % len(self.data_centres)],
                agent=f"10.1.{number // 250}.{number % 250 + 1}:{AGENT_PORT}",
                seats=self.speed.slots,
                pieces=self.speed.kv_blocks,
            )
            for number, role in enumerate(self.roles)
        ]

    def _plain(self) -> list[Backend]:
        return [
            Backend(
                id=BackendId(f"{self.plain_group}-{number}"),
                group=self.plain_group,
                role=BackendRole.PLAIN,
                data_centre=self.data_centres[number % len(self.data_centres)],
                agent=f"10.0.2.{number + 1}:{AGENT_PORT}",
            )
            for number in range(self.plain_backends)
        ]


DEPLOYMENTS: Registry[Callable[[], Deployment]] = Registry("deployment")


def make_key(account: AccountId) -> str:
    """Return the key of an account in a benchmark."""
    return f"marker-key-of-{account}"


def digest_of(key: str) -> KeyDigest:
    """Return the digest that the document holds for *key*."""
    return KeyDigest("sha256:" + hashlib.sha256(key.encode()).hexdigest())


def _share(**shares: float) -> dict[AccountId, float]:
    return {AccountId(name.replace("_", "-")): share for name, share in shares.items()}


@DEPLOYMENTS.register("wire")
def make_wire() -> Deployment:
    """Return the wire service: five model workers and three of the order desk."""
    return Deployment(
        name="wire",
        data_centres=(DataCentre("rancagua"), DataCentre("talca"), DataCentre("chillan")),
        model=ModelName("summary"),
        roles=(
            BackendRole.PREFILL,
            BackendRole.DECODE,
            BackendRole.DECODE,
            BackendRole.DECODE,
            BackendRole.PREFILL,
        ),
        plain_group=ServiceGroup("order-desk"),
        plain_backends=3,
        accounts=_share(teniente=0.35, trefila=0.3, maule=0.15, itata=0.12, cooperativa=0.08),
        prompts=PromptMix(short=900, shared=(1000, 2000), share=0.2, most=12000),
        plain=PlainMix(12, 0.25, "/orders", "confirm", "order", "confirmed"),
    )


@DEPLOYMENTS.register("qene")
def make_qene() -> Deployment:
    """Return Qene Keys: six model workers and three editor servers."""
    return Deployment(
        name="qene",
        data_centres=(DataCentre("bole"), DataCentre("piassa"), DataCentre("kality")),
        model=ModelName("suggest"),
        roles=(
            BackendRole.PREFILL,
            BackendRole.DECODE,
            BackendRole.DECODE,
            BackendRole.DECODE,
            BackendRole.PREFILL,
            BackendRole.PREFILL,
        ),
        plain_group=ServiceGroup("editor"),
        plain_backends=3,
        accounts=_share(ministry=0.4, schools=0.25, translators=0.15, unions=0.12, kufri=0.08),
        prompts=PromptMix(short=700, shared=(2000, 3000, 4000), share=0.5, most=24000),
        plain=PlainMix(15, 0.15, "/layouts", "publish", "layout", "published"),
    )
