"""What gateways tell each other: peer reports by UDP, and their rows in the store."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Annotated

import msgspec

from lavenderrun.decoding import Amount, Count, Seconds, decode_json, decode_msgpack, parse_address
from lavenderrun.dispatch import LOWEST_RANK, NO_BOOT, NO_DATA_CENTRE, CallReport
from lavenderrun.gateway._log import log
from lavenderrun.types import (
    AccountId,
    BackendId,
    BackendRole,
    BootId,
    DataCentre,
    DocumentVersion,
    Fingerprint,
    HostId,
    Incarnation,
    PartId,
    ServiceGroup,
)

Rank = Annotated[int, msgspec.Meta(ge=0, le=LOWEST_RANK)]
"""Priority of a call, zero is the most urgent."""


ReportedPrompt = tuple[Count, BackendId, Seconds, Count, Sequence[tuple[PartId, Count]]]
"""A computed prompt: its number, the engine, its age in seconds, its length and its parts."""


class PeerReport(msgspec.Struct, array_like=True):
    """A peer report: what one gateway tells the others.

    :param boot: id of the current run of the host's process.
    :param version: version of the configuration in force.
    :param used: units charged since the start, by account.
    :param reserved: reserved calls and tokens, by backend server.
    :param moving: engines that accepted a role change, with their new role; for gateways that don't
        read ``ordered``.
    :param broken: server incarnations that a call crashed, by the call's fingerprint.
    :param computing: how much longer, in seconds, decode engines are busy with prompts that they
        compute themselves.
    :param leaving: backend servers that said they are leaving while their rows don't say so.
    :param crashing: server incarnations that ended under parts of prompts, with the seconds since
        a call with the part was sent there and since its connection closed.
    :param answered: parts of prompts that were answered, with the seconds since then.
    :param ordered: engines that accepted a role change: their run, new role, fencing number and
        sequence of the order, and how much longer, in seconds, the change is expected.
    :param previous: id of the run of the host's process before this one, empty when unknown.
    :param broken_times: for each server in ``broken``, in its order, the seconds since the call was
        sent there and since its connection closed; gateways of an earlier release send none.
    :param served: calls that may be in ``broken`` of any host and ran to their end, with the
        seconds since then.
    :param evacuated: data centres that an operator ever evacuated: the store's version of the
        newest instruction, and whether the data centre is evacuated.
    :param waiting: calls that wait for a decode slot at this host and the tokens that they need, by
        service and rank.
    :param work: mean engine seconds of a prefill and of a decode of this host's calls, and how many
        of each it has seen, by service.
    :param computed: prompts that engines have computed lately: a number that counts them at this
        host, the engine, the seconds since then, the length and the parts with their lengths.
    :param arrived: new streams that requested a decode slot at this host within the last
        ``ARRIVAL_WINDOW`` and the tokens that they need, by service and rank.
    :param rejected: calls that this host rejected without a decode slot, with the seconds until
        they were advised to come back.
    """

    host: HostId
    boot: BootId
    version: DocumentVersion
    used: Mapping[AccountId, Amount]
    reserved: Mapping[BackendId, tuple[Count, Count]]
    moving: Mapping[BackendId, BackendRole] = {}
    broken: Mapping[Fingerprint, Sequence[Incarnation]] = {}
    computing: Mapping[BackendId, Seconds] = {}
    leaving: Sequence[Incarnation] = ()
    crashing: Mapping[PartId, Sequence[tuple[Incarnation, Seconds, Seconds]]] = {}
    answered: Mapping[PartId, Seconds] = {}
    ordered: Mapping[BackendId, tuple[Incarnation, BackendRole, Count, Count, Seconds]] = {}
    previous: BootId = NO_BOOT
    broken_times: Mapping[Fingerprint, Sequence[tuple[Seconds, Seconds]]] = {}
    served: Mapping[Fingerprint, Seconds] = {}
    evacuated: Mapping[DataCentre, tuple[Count, bool]] = {}
    waiting: Mapping[ServiceGroup, Mapping[Rank, tuple[Count, Count]]] = {}
    work: Mapping[ServiceGroup, tuple[Seconds, Seconds, Count, Count]] = {}
    computed: Sequence[ReportedPrompt] = ()
    arrived: Mapping[ServiceGroup, Mapping[Rank, tuple[Count, Count]]] = {}
    rejected: Mapping[Fingerprint, Seconds] = {}

    @property
    def calls(self) -> CallReport:
        """Evidence about calls; crashes without times may be old, and are left out."""
        return CallReport(
            {
                fingerprint: [
                    (server, *times)
                    for server, times in zip(self.broken.get(fingerprint, ()), each, strict=False)
                ]
                for fingerprint, each in self.broken_times.items()
            },
            self.served,
        )


class GatewayRow(msgspec.Struct):
    """Row of one gateway in the store; the key is its host.

    :param address: IP number and port for peer reports and other gateways' requests.
    :param boot: id of the current run of the host's process.
    :param data_centre: the host's data centre; empty in rows of an earlier release.
    """

    address: str
    boot: str
    data_centre: DataCentre = NO_DATA_CENTRE


def decode_report(datagram: bytes) -> PeerReport | None:
    """Return a peer report, ``None`` when anything in it is malformed or out of bounds."""
    try:
        return decode_msgpack(datagram, PeerReport)
    except ValueError as error:
        log("peers:unreadable", "peers: peer report is malformed", error=str(error))
        return None


def decode_gateway_row(value: bytes | None) -> GatewayRow | None:
    """Return the row of a gateway, ``None`` when it is removed or malformed."""
    if value is None:
        return None
    try:
        gateway_row = decode_json(value, GatewayRow)
        parse_address(gateway_row.address)
    except ValueError as error:
        log("peers:entry_unreadable", "peers: row of a gateway is malformed", error=str(error))
        return None
    return gateway_row
