"""Hosts that are gone without a word: their sockets drop what arrives and acknowledge nothing."""

from __future__ import annotations

import ctypes
import socket
import struct

SO_ATTACH_FILTER = 26
MAX_TCP_HEADER = 60

DROP = (0x06, 0, 0, 0)
KEEP = (0x06, 0, 0, 0xFFFFFFFF)
LOAD_LENGTH = (0x80, 0, 0, 0)
SKIP_UNLESS_DATA = (0x25, 0, 1, MAX_TCP_HEADER)


def drop_all_segments(connected: socket.socket) -> None:
    """Let the kernel drop all segments that arrive."""
    _attach(connected, DROP)


def drop_data(listening: socket.socket) -> None:
    """Let the kernel drop data that arrives over connections that are opened from now on."""
    _attach(listening, LOAD_LENGTH, SKIP_UNLESS_DATA, DROP, KEEP)


def _attach(handle: socket.socket, *instructions: tuple[int, int, int, int]) -> None:
    """Attach a classic BPF filter, which connections inherit from the socket that accepts them."""
    encoded = b"".join(struct.pack("HBBI", *instruction) for instruction in instructions)
    program = ctypes.create_string_buffer(encoded, len(encoded))
    filter_ = struct.pack("HL", len(instructions), ctypes.addressof(program))
    handle.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, filter_)
