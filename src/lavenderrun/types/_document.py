"""The document: the whole configuration as typed and validated values.

Durations are numbers of seconds in the file and :class:`datetime.timedelta` here. References
between parts (a route's service, a backend server's group) are checked by the document codec,
which reports all faults together.
"""

from __future__ import annotations

from datetime import timedelta
from typing import Annotated, Any

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, WithJsonSchema

from lavenderrun.types._ids import (
    AccountId,
    BackendId,
    DataCentre,
    KeyDigest,
    ModelName,
    RouteName,
    ServiceGroup,
)
from lavenderrun.types._states import BackendRole, Repeatability

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
PositiveFloat = Annotated[float, Field(gt=0)]
MAX_DURATION = timedelta(days=1)


def _check_seconds(value: Any) -> Any:
    if isinstance(value, timedelta) or (isinstance(value, int | float) and value is not True):
        return value
    msg = "must be a number of seconds"
    raise ValueError(msg)


Duration = Annotated[
    timedelta,
    BeforeValidator(_check_seconds),
    Field(gt=timedelta(0), le=MAX_DURATION),
    WithJsonSchema(
        {
            "type": "number",
            "exclusiveMinimum": 0,
            "maximum": MAX_DURATION.total_seconds(),
            "unit": "seconds",
        }
    ),
]


class Part(BaseModel):
    """Base class of the document's parts: immutable, and unknown fields are refused."""

    model_config = ConfigDict(
        frozen=True,
        extra="forbid",
        allow_inf_nan=False,
        ser_json_timedelta="float",
    )


class Rate(Part):
    """Rate and burst of a client account, summed over all hosts.

    :param requests_per_second: sustained requests a second.
    :param request_burst: most requests at once.
    :param tokens_per_second: sustained tokens (prompt and output) a second.
    :param token_burst: most tokens at once.
    """

    requests_per_second: Annotated[
        PositiveFloat, Field(json_schema_extra={"unit": "requests/second"})
    ]
    request_burst: Annotated[PositiveFloat, Field(json_schema_extra={"unit": "requests"})]
    tokens_per_second: Annotated[PositiveFloat, Field(json_schema_extra={"unit": "tokens/second"})]
    token_burst: Annotated[PositiveFloat, Field(json_schema_extra={"unit": "tokens"})]


class Account(Part):
    """A client account.

    :param keys: SHA-256 digests of its keys, ``sha256:`` and 64 hexadecimal digits.
    :param weight: its share at the agents' queues against the other accounts.
    """

    id: Annotated[AccountId, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
    rate: Rate
    weight: PositiveFloat = 1.0
    keys: list[Annotated[KeyDigest, Field(pattern=r"^sha256:[0-9a-f]{64}$")]] = []


class Targets(Part):
    """Latency targets of a route; goodput counts requests that meet both.

    :param first_token: until the first token, or the reply's head.
    :param between_tokens: mean time between tokens.
    """

    first_token: Duration = timedelta(milliseconds=730)
    between_tokens: Duration = timedelta(milliseconds=30)


class ModelRoute(Part):
    """Rules for requests to one model.

    :param patience: how long a request may wait before it is refused as not run.
    :param accounts: accounts that may use it; empty for all.
    """

    name: Annotated[RouteName, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
    model: Annotated[ModelName, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
    targets: Targets = Targets()
    patience: Duration = timedelta(seconds=30)
    repeatability: Repeatability = Repeatability.IDEMPOTENT
    accounts: list[AccountId] = []
    max_prompt_tokens: Annotated[int, Field(gt=0, json_schema_extra={"unit": "tokens"})] = 65536
    max_output_tokens: Annotated[int, Field(gt=0, json_schema_extra={"unit": "tokens"})] = 4096


class PlainRoute(Part):
    """Rules for calls to a plain service.

    :param prefix: path prefix; the longest that fits wins.
    :param methods: methods it takes; empty for all.
    :param open: served without a key.
    :param max_body: largest body in bytes.
    """

    name: Annotated[RouteName, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
    prefix: Annotated[str, Field(pattern=r"^/[^?#\s]*$")]
    service: Annotated[ServiceGroup, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
    methods: list[Annotated[str, Field(pattern=r"^[A-Z]+$")]] = []
    targets: Targets = Targets()
    patience: Duration = timedelta(seconds=5)
    repeatability: Repeatability = Repeatability.IDEMPOTENT
    accounts: list[AccountId] = []
    open: bool = False
    max_body: Annotated[int, Field(gt=0, json_schema_extra={"unit": "bytes"})] = 1 << 20


class Model(Part):
    """A model that the fleet serves.

    :param size: bytes that a load reads from the weight store.
    :param prefill: engines wanted in the prefill role.
    :param decode: engines wanted in the decode role.
    """

    name: Annotated[ModelName, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
    revision: str = "1"
    adapters: list[Name] = []
    size: Annotated[int, Field(gt=0, json_schema_extra={"unit": "bytes"})] = 16 << 30
    prefill: Annotated[int, Field(ge=0)] = 1
    decode: Annotated[int, Field(ge=0)] = 1


class Backend(Part):
    """A backend server and the agent beside it.

    :param group: the model or plain service that it serves.
    :param agent: IP number and port of its agent.
    :param seats: requests that it runs at once.
    :param pieces: pieces of KV cache, about a thousand tokens each.
    :param checks_fencing: refuses orders that carry an old fencing number.
    """

    id: Annotated[BackendId, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
    group: Annotated[ServiceGroup, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
    role: BackendRole
    data_centre: DataCentre
    agent: Annotated[str, Field(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")]
    seats: Annotated[int, Field(gt=0)] = 20
    pieces: Annotated[int, Field(gt=0)] = 640
    checks_fencing: bool = False


class LinkRate(Part):
    """Transfer rate between two data centres, each direction on its own."""

    source: DataCentre
    target: DataCentre
    bytes_per_second: Annotated[PositiveFloat, Field(json_schema_extra={"unit": "bytes/second"})]


class Document(Part):
    """The whole configuration.

    :param retry_share: most retries as a share of requests, over the fleet.
    :param weight_store_rate: bytes a second that model loads may read together.
    """

    accounts: list[Account] = []
    models: list[Model] = []
    model_routes: list[ModelRoute] = []
    plain_routes: list[PlainRoute] = []
    backends: list[Backend] = []
    links: list[LinkRate] = []
    retry_share: Annotated[float, Field(ge=0, le=1)] = 0.1
    weight_store_rate: Annotated[
        PositiveFloat, Field(json_schema_extra={"unit": "bytes/second"})
    ] = 2e9
