"""Sections of a daemon's settings that services read."""

from __future__ import annotations

from datetime import timedelta
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

Size = Annotated[int, Field(gt=0)]
Wait = Annotated[timedelta, Field(gt=timedelta(0), le=timedelta(days=1))]


Address = Annotated[str, Field(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")]


class FrontSettings(BaseModel):
    """Section of the callers' HTTP front.

    :param listen: IP number and port; port zero takes a free one.
    :param certificate: PEM file with the certificate chain; plain HTTP without it.
    :param private_key: PEM file with the certificate's key.
    :param max_body: largest body of a model request in bytes.
    :param max_plain_body: largest body of a plain call in bytes; routes may ask for less.
    :param buffer: bytes kept for a caller that reads slowly before its connection is dropped.
    :param idle: how long a connection without a request stays open.
    :param stall: how long a caller may take no byte of its answer.
    :param drain: how long a stop waits for running requests.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    listen: Annotated[
        str, Field(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")
    ] = "127.0.0.1:0"
    certificate: str | None = None
    private_key: str | None = None
    max_body: Size = 1 << 20
    max_plain_body: Size = 8 << 20
    buffer: Size = 1 << 18
    idle: Wait = timedelta(seconds=60)
    stall: Wait = timedelta(seconds=30)
    drain: Wait = timedelta(seconds=120)


class BackendSettings(BaseModel):
    """Section of the backend server beside an agent.

    :param address: IP number and port of the backend server.
    :param connections: idle connections kept to it.
    :param silence: how long a call to a plain service may bring no byte.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    address: Address
    connections: Annotated[int, Field(gt=0)] = 32
    silence: Wait = timedelta(seconds=30)
