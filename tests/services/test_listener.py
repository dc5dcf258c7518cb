from __future__ import annotations

import asyncio
import socket
import ssl
import threading
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from twisted.internet.asyncioreactor import AsyncioSelectorReactor
from twisted.internet.protocol import Protocol, ServerFactory

from lavenderrun.services import Listener, ListenError
from lavenderrun.services._listener import check_tls_files, make_tls_context


def make_key() -> ec.EllipticCurvePrivateKey:
    return ec.generate_private_key(ec.SECP256R1())


def write_key(path: Path, key: ec.EllipticCurvePrivateKey) -> str:
    private_format = serialization.PrivateFormat.PKCS8
    pem = key.private_bytes(
        serialization.Encoding.PEM, private_format, serialization.NoEncryption()
    )
    path.write_bytes(pem)
    return str(path)


def write_certificate(path: Path, key: ec.EllipticCurvePrivateKey) -> str:
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "front")])
    now = datetime.now(UTC)
    builder = x509.CertificateBuilder().subject_name(name).issuer_name(name)
    builder = builder.public_key(key.public_key()).serial_number(7)
    builder = builder.not_valid_before(now).not_valid_after(now + timedelta(days=1))
    path.write_bytes(builder.sign(key, hashes.SHA256()).public_bytes(serialization.Encoding.PEM))
    return str(path)


def test_certificate_and_key_that_fit_make_a_context(tmp_path: Path) -> None:
    key = make_key()
    certificate = write_certificate(tmp_path / "front.pem", key)
    make_tls_context(certificate, write_key(tmp_path / "front.key", key))


def test_each_bad_certificate_or_key_is_named(tmp_path: Path) -> None:
    key = make_key()
    certificate = write_certificate(tmp_path / "front.pem", key)
    private_key = write_key(tmp_path / "front.key", key)
    other = write_key(tmp_path / "other.key", make_key())
    garbage = tmp_path / "noise.pem"
    garbage.write_text("no PEM")
    with pytest.raises(ListenError, match=r"private_key: is missing"):
        make_tls_context(certificate, None)
    with pytest.raises(ListenError, match=r"certificate: .*absent.pem can not be read"):
        make_tls_context(str(tmp_path / "absent.pem"), private_key)
    with pytest.raises(ListenError, match=r"certificate: .*noise.pem holds no PEM certificate"):
        make_tls_context(str(garbage), private_key)
    with pytest.raises(ListenError, match=r"private_key: .*noise.pem holds no PEM private key"):
        make_tls_context(certificate, str(garbage))
    with pytest.raises(ListenError, match=r"private_key: .*other.key does not fit"):
        make_tls_context(certificate, other)
    with pytest.raises(ListenError, match=r"admin\.private_key: .*other.key does not fit"):
        check_tls_files("admin", certificate, other)


BULK = bytes(range(256)) * 20_000


class Bulk(Protocol):
    """Sends a short greeting, then ``BULK`` in parts of 4000 bytes, then closes."""

    transport: Any

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.write(b"hello")
        for start in range(0, len(BULK), 4000):
            self.transport.write(BULK[start : start + 4000])
        self.transport.loseConnection()


def read_all(connection: socket.socket) -> bytes:
    parts = []
    while part := connection.recv(65536):
        parts.append(part)
    return b"".join(parts)


def serve_bulk(tls: tuple[str, str] | None, read: Callable[[int], bytes]) -> bytes:
    reactor: Any = AsyncioSelectorReactor(asyncio.new_event_loop())
    listener = Listener("127.0.0.1:0", tls)
    factory: Any = ServerFactory()
    factory.protocol = Bulk
    listener.open(lambda _: factory, reactor)
    seen: list[bytes] = []

    def call() -> None:
        try:
            seen.append(read(listener.port))
        finally:
            reactor.callFromThread(reactor.stop)

    caller = threading.Thread(target=call)
    reactor.callWhenRunning(caller.start)
    reactor.run()
    caller.join()
    return seen[0]


def test_slow_reader_gets_every_byte_in_order_and_then_the_end() -> None:
    def read(port: int) -> bytes:
        with socket.create_connection(("127.0.0.1", port)) as connection:
            threading.Event().wait(0.2)
            return read_all(connection)

    assert serve_bulk(None, read) == b"hello" + BULK


def test_callers_reach_the_port_by_tls(tmp_path: Path) -> None:
    key = make_key()
    certificate = write_certificate(tmp_path / "front.pem", key)
    private_key = write_key(tmp_path / "front.key", key)
    context = ssl.create_default_context(cafile=certificate)
    context.check_hostname = False

    def read(port: int) -> bytes:
        with socket.create_connection(("127.0.0.1", port)) as connection:
            return read_all(context.wrap_socket(connection))

    assert serve_bulk((certificate, private_key), read) == b"hello" + BULK


def test_taken_address_is_named() -> None:
    reactor: Any = AsyncioSelectorReactor(asyncio.new_event_loop())
    factory: Any = ServerFactory()
    first = Listener("127.0.0.1:0", None)
    first.open(lambda _: factory, reactor)
    with pytest.raises(ListenError, match=rf"listen: 127.0.0.1:{first.port} can not be used"):
        Listener(first.address, None).open(lambda _: factory, reactor)
    first.close()
