"""The two benchmark deployments: hosts, accounts, engine speed and traffic."""

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
"""An account's burst allowance, in seconds of its rate."""
RATE_HEADROOM = 1.3
"""Ratio of an account's rate to its mean traffic at PEAK_LOAD."""
PEAK_LOAD = 0.85
"""Model traffic at peak, as a share of the engines' capacity."""
LINK_BYTES_PER_SECOND = 6e9
"""Bytes per second between and within data centres, each direction."""
PLAIN_TARGET = timedelta(milliseconds=300)
ENTRY_PORT = 7000
AGENT_PORT = 7100

Metres = dict[AccountId, float]


@dataclass(frozen=True)
class PromptMix:
    """Distribution of prompt lengths in tokens.

    :param mean_own_tokens: mean length of the unshared part of a prompt; exponentially distributed.
    :param prefix_tokens: lengths of an account's shared prefixes, one of which is drawn per prompt.
    :param prefix_share: fraction of the prompts that begin with a shared prefix.
    :param max_tokens: length of the longest prompt.
    """

    mean_own_tokens: int
    prefix_tokens: tuple[int, ...] = ()
    prefix_share: float = 0.0
    max_tokens: int = 32000

    @property
    def mean(self) -> float:
        """Mean prompt length in tokens."""
        shared = sum(self.prefix_tokens) / len(self.prefix_tokens) if self.prefix_tokens else 0.0
        return self.mean_own_tokens + self.prefix_share * shared


@dataclass(frozen=True)
class PlainMix:
    """Traffic to the plain service.

    :param per_second: mean number of calls per second.
    :param at_most_once_share: fraction of the calls that may run at most once.
    :param prefix: first part of the path.
    :param action: last part of the path of a call that may run at most once.
    :param resource_field: field of the reply with the name of the resource.
    :param count_field: field of the reply with the number of executions.
    :param idempotency_key_share: fraction of the at-most-once calls that carry an idempotency key.
    """

    per_second: float
    at_most_once_share: float
    prefix: str
    action: str
    resource_field: str
    count_field: str
    idempotency_key_share: float = 0.5


@dataclass(frozen=True)
class Deployment:
    """Hosts, accounts and traffic of one deployment.

    :param roles: role of each model engine.
    :param plain_backends: number of backend servers of the plain service.
    :param accounts: share of the traffic by client account.
    :param max_tokens: output limit of a request in tokens.
    :param rate_factor: factor on all accounts' rates; for plain calls at least 1.
    :param entries: number of entry hosts, spread over the data centres.
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
        """Mean length of an answer in tokens: geometric, truncated at *max_tokens*."""
        mean = self.speed.mean_tokens
        return mean * (1 - (1 - 1 / mean) ** self.max_tokens)

    def compute_capacity(self) -> float:
        """Return the model requests per second that the engines can finish.

        An answer holds one decode slot for all its steps, at the step time of a full batch. A
        prefill engine runs one prompt at a time, here with no prefix cached. The smaller of the
        two rates is the capacity.
        """
        speed = self.speed
        step = speed.compute_step_time(speed.slots).total_seconds()
        decoders = self.roles.count(BackendRole.DECODE)
        slot_seconds = self.output_tokens * step
        decode = decoders * speed.slots / slot_seconds
        prefill_time = speed.compute_prefill_time(round(self.prompts.mean)).total_seconds()
        prefill = self.roles.count(BackendRole.PREFILL) / prefill_time
        return min(decode, prefill)

    def compute_rate(self, account: AccountId) -> Rate:
        """Return the account's rate and burst: its share of the peak load, times the headroom."""
        share = self.accounts[account] * RATE_HEADROOM
        model = self.compute_capacity() * PEAK_LOAD * share * self.rate_factor
        requests = model + self.plain.per_second * share * max(1.0, self.rate_factor)
        tokens = model * (self.prompts.mean + self.max_tokens)
        # even a small account may send two of the longest requests at once
        longest = 2.0 * (self.prompts.max_tokens + self.max_tokens)
        return Rate(
            requests_per_second=requests,
            request_burst=max(10.0, BURST_SECONDS * requests),
            tokens_per_second=tokens,
            token_burst=max(longest, BURST_SECONDS * tokens),
        )

    def build_document(self) -> Document:
        """Return the document that configures the whole deployment."""
        return Document(
            accounts=[
                Account(
                    id=name, rate=self.compute_rate(name), keys=[make_key_digest(make_key(name))]
                )
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
                    max_prompt_tokens=self.prompts.max_tokens,
                    max_output_tokens=self.max_tokens,
                )
            ],
            plain_routes=self._plain_routes(),
            backends=[*self._engines(), *self._plain()],
            links=[
                LinkRate(source=source, target=target, bytes_per_second=LINK_BYTES_PER_SECOND)
                for source in self._engine_data_centres()
                for target in self._engine_data_centres()
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

    def _engine_data_centres(self) -> tuple[DataCentre, ...]:
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
    """Return the API key of an account in a benchmark."""
    return f"marker-key-of-{account}"


def make_key_digest(key: str) -> KeyDigest:
    """Return the digest of *key* as the document stores it."""
    return KeyDigest("sha256:" + hashlib.sha256(key.encode()).hexdigest())


def _make_shares(**shares: float) -> dict[AccountId, float]:
    return {AccountId(name.replace("_", "-")): share for name, share in shares.items()}


@DEPLOYMENTS.register("wire")
def make_wire() -> Deployment:
    """Return the wire service: five model engines and three order-desk servers."""
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
        accounts=_make_shares(teniente=0.35, trefila=0.3, maule=0.15, itata=0.12, cooperativa=0.08),
        prompts=PromptMix(
            mean_own_tokens=900, prefix_tokens=(1000, 2000), prefix_share=0.2, max_tokens=12000
        ),
        plain=PlainMix(12, 0.25, "/orders", "confirm", "order", "confirmed"),
    )


@DEPLOYMENTS.register("qene")
def make_qene() -> Deployment:
    """Return Qene Keys: six model engines and three editor servers."""
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
        accounts=_make_shares(
            ministry=0.4, schools=0.25, translators=0.15, unions=0.12, kufri=0.08
        ),
        prompts=PromptMix(
            mean_own_tokens=700,
            prefix_tokens=(2000, 3000, 4000),
            prefix_share=0.5,
            max_tokens=24000,
        ),
        plain=PlainMix(15, 0.15, "/layouts", "publish", "layout", "published"),
    )
