"""Probes in the middle of an answer in chunks."""

from __future__ import annotations

import h11
from hypothesis import given
from hypothesis import strategies as st

from lavenderrun.http_server._open_chunk import OpenChunk

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
PIECES = st.lists(st.none() | st.binary(min_size=1, max_size=40), max_size=20)


def encode(pieces: list[bytes | None]) -> bytes:
    """Return the answer of those pieces, with a probe for each ``None``."""
    chunk, sent = OpenChunk(), HEAD
    for piece in pieces:
        if piece is None:
            sent += chunk.take_probe()
            continue
        rest = piece
        if chunk.is_open:
            sent += chunk.complete(piece)
            rest = piece[1:]
        if rest:
            sent += b"%x\r\n%s\r\n" % (len(rest), rest)
    return sent


def decode(sent: bytes) -> tuple[bytes, bool]:
    """Return the body that a caller reads, and whether it is complete for it."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="GET", target="/", headers=[("Host", "h")]))
    connection.send(h11.EndOfMessage())
    connection.receive_data(sent)
    connection.receive_data(b"")
    body = b""
    while True:
        try:
            event = connection.next_event()
        except h11.RemoteProtocolError:
            return body, False
        if isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return body, True


@given(PIECES)
def test_probes_change_nothing_of_the_body(pieces: list[bytes | None]) -> None:
    whole = b"".join(piece for piece in pieces if piece is not None)
    assert decode(encode([*pieces, b"\n"]) + b"0\r\n\r\n") == (whole + b"\n", True)


# guards against a probe that ends the answer of a caller whose connection breaks off after it
@given(PIECES)
def test_an_answer_that_breaks_off_after_a_probe_is_not_complete(
    pieces: list[bytes | None],
) -> None:
    whole = b"".join(piece for piece in pieces if piece is not None)
    assert decode(encode([*pieces, None])) == (whole, False)
