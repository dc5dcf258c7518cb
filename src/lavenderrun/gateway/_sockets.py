"""TCP options of every connection, and what the kernel knows of what was sent over it."""

from __future__ import annotations

import ctypes
import socket
import struct
from contextlib import suppress
from datetime import timedelta
from typing import Any, Final

from lavenderrun.dispatch import SendState

KEEPALIVE_IDLE: Final = timedelta(seconds=1)
KEEPALIVE_INTERVAL: Final = timedelta(seconds=1)
KEEPALIVE_PROBES: Final = 2
"""Keep-alive probes; they detect a lost path within three seconds, the time allowed for that."""

MAX_ACCEPTS: Final = 1024
"""Connections that are accepted before a port is closed; more than its backlog."""

HANDSHAKE_TIME: Final = timedelta(milliseconds=10)
"""Time in which handshakes that have begun are completed before a port is closed."""

SO_ATTACH_FILTER: Final = 26

DROP_SYN: Final = (
    (0x30, 0, 0, 13),  # load the byte with the TCP flags
    (0x54, 0, 0, 0x02),  # keep the SYN flag
    (0x15, 0, 1, 0x02),  # skip the next instruction without it
    (0x06, 0, 0, 0),  # drop the segment
    (0x06, 0, 0, 0xFFFFFFFF),  # keep the segment
)
"""Socket filter that drops segments with the SYN flag, as classic BPF instructions."""

OPTIONS: Final = (
    ("TCP_KEEPIDLE", int(KEEPALIVE_IDLE.total_seconds())),
    ("TCP_KEEPINTVL", int(KEEPALIVE_INTERVAL.total_seconds())),
    ("TCP_KEEPCNT", KEEPALIVE_PROBES),
)

TCP_INFO_FORMAT: Final = struct.Struct("8B24I")
"""The part of Linux's ``struct tcp_info`` that all its versions have."""

PROBES_FIELD, UNACKNOWLEDGED_FIELD, LAST_SENT_FIELD, LAST_ACKNOWLEDGED_FIELD = 3, 12, 17, 20


def set_socket_options(transport: Any) -> None:
    """Set the TCP options on a connected transport."""
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(1)
    handle = transport.getHandle()
    for name, value in OPTIONS:
        option = getattr(socket, name, None)
        if option is not None:
            handle.setsockopt(socket.IPPROTO_TCP, option, value)


def read_send_state(transport: Any) -> SendState | None:
    """Return what became of what was sent over a connected transport.

    :returns: ``None`` where the operating system does not tell.
    """
    option = getattr(socket, "TCP_INFO", None)
    if option is None:
        return None
    try:
        found = transport.getHandle().getsockopt(socket.IPPROTO_TCP, option, TCP_INFO_FORMAT.size)
        fields = TCP_INFO_FORMAT.unpack(found)
    except (OSError, struct.error):
        return None
    return SendState(
        fields[UNACKNOWLEDGED_FIELD],
        fields[PROBES_FIELD],
        timedelta(milliseconds=fields[LAST_SENT_FIELD]),
        timedelta(milliseconds=fields[LAST_ACKNOWLEDGED_FIELD]),
    )


def acknowledge_at_once(transport: Any) -> None:
    """Acknowledge what comes next without delay, as on a new connection.

    After a request and an answer Linux delays acknowledgements by up to 40 ms, for which a sender
    without ``TCP_NODELAY`` waits between the head of an answer and its first event.
    """
    option = getattr(socket, "TCP_QUICKACK", None)
    if option is not None:
        transport.getHandle().setsockopt(socket.IPPROTO_TCP, option, 1)


def stop_accepting(port: Any) -> None:
    """Close a listening port after the connections that wait in its backlog are accepted."""

    def close() -> None:
        port.numberAccepts = MAX_ACCEPTS
        port.doRead()
        # the port closes in the next iteration of the loop, and resets what has come until then
        port.reactor.callLater(0, port.doRead)
        port.stopListening()

    _drop_handshakes(port.socket)
    port.reactor.callLater(HANDSHAKE_TIME.total_seconds(), close)


def _drop_handshakes(listening: socket.socket) -> None:
    """Let the kernel drop new handshakes; callers repeat them, but can't repeat a request."""
    instructions = ctypes.create_string_buffer(b"".join(map(_encode_instruction, DROP_SYN)))
    program = struct.pack("HL", len(DROP_SYN), ctypes.addressof(instructions))
    # only Linux has it; elsewhere a connection may still come between the last accept and the close
    with suppress(OSError):
        listening.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


def _encode_instruction(instruction: tuple[int, int, int, int]) -> bytes:
    return struct.pack("HBBI", *instruction)
