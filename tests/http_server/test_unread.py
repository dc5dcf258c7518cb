from __future__ import annotations

import socket
from types import SimpleNamespace
from typing import Any

import pytest

from lavenderrun.http_server import has_unread_bytes


# under TLS the transport's handle is no socket, and what waits in the socket was not seen
@pytest.mark.parametrize("is_wrapped", [False, True], ids=["tcp", "tls"])
def test_bytes_that_wait_in_the_socket_are_seen_and_left_there(is_wrapped: bool) -> None:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        carrier: Any = SimpleNamespace(getHandle=lambda: ours)
        transport = SimpleNamespace(transport=carrier) if is_wrapped else carrier
        assert not has_unread_bytes(transport)
        theirs.send(b"a")
        assert has_unread_bytes(transport)
        assert ours.recv(9) == b"a"
        theirs.close()
        assert not has_unread_bytes(transport)
