"""Messages between the host that orders placement changes and the agents."""

from __future__ import annotations

from enum import Enum

import msgspec

from lavenderrun.types._ids import FencingNumber, ModelName
from lavenderrun.types._messages import Message, message
from lavenderrun.types._states import BackendRole


class OrderKind(Enum):
    """What a backend server can be ordered to do."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


class ServingState(Enum):
    """Whether a backend server takes work in its role."""

    READY = "ready"
    DRAINING = "draining"
    LOADING = "loading"


class OrderOutcome(Enum):
    """What an agent did with an order."""

    BEGUN = "begun"
    DONE = "done"
    FENCED = "fenced"
    BUSY = "busy"
    FAILED = "failed"


class LoadedModel(msgspec.Struct, frozen=True, array_like=True):
    """The model that a backend server has loaded, and its role.

    :param model: empty when no model is loaded.
    """

    model: ModelName
    revision: str
    adapters: list[str]
    role: BackendRole


@message("fence")
class Fence(Message, tag="fence", frozen=True):
    """A lease holder announces its fencing number; lower ones are refused from now on."""

    fencing: FencingNumber


@message("serving")
class Serving(Message, tag="serving", frozen=True):
    """An agent reports what its backend server serves.

    :param fencing: highest fencing number that the agent has received.
    :param order: number of the last order that it accepted, zero for none.
    """

    loaded: LoadedModel
    state: ServingState
    fencing: FencingNumber
    order: int = 0


@message("order")
class Order(Message, tag="order", frozen=True):
    """The lease holder orders a backend server to change what it serves.

    :param number: number of the order, unchanged when the order is sent again.
    """

    number: int
    fencing: FencingNumber
    kind: OrderKind
    model: ModelName
    revision: str = ""
    adapter: str = ""
    role: BackendRole = BackendRole.DECODE


@message("order_answer")
class OrderAnswer(Message, tag="order_answer", frozen=True):
    """An agent's answer to an order.

    :param detail: short description of a failure.
    """

    number: int
    outcome: OrderOutcome
    detail: str = ""
