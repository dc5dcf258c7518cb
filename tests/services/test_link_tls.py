from __future__ import annotations

import asyncio
import socket
from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest
from authority import CertificateAuthority, SignedCertificate

from lavenderrun.kernel import Kernel
from lavenderrun.services import CertificateError
from lavenderrun.services._transport_grpc import GrpcTransport, make_transport
from lavenderrun.types import EntrySettings, HostSettings, Pipe, StoreSettings

WAIT = 5.0
STORE = StoreSettings(url="http://127.0.0.1:1", deadline=timedelta(seconds=1))


class RecordingHandler:
    def __init__(self, pipe: Pipe) -> None:
        self.pipe = pipe
        self.first_event: asyncio.Future[str] = asyncio.get_running_loop().create_future()

    def received(self, data: bytes) -> None:
        self._put(data.decode())

    def closed(self, reason: str) -> None:
        self._put(f"closed: {reason}")

    def _put(self, text: str) -> None:
        if not self.first_event.done():
            self.first_event.set_result(text)


def make_test_transport(
    authority: str | None, signed: SignedCertificate | None, port: int
) -> GrpcTransport:
    host = HostSettings(
        id="a",
        data_centre="talca",
        listen=f"127.0.0.1:{port}",
        authority=authority,
        certificate=signed.certificate if signed else None,
        private_key=signed.private_key if signed else None,
    )
    clock: Any = None
    transport = make_transport(Kernel(clock, EntrySettings(host=host, store=STORE)))
    assert isinstance(transport, GrpcTransport)
    return transport


def find_free_port() -> int:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port: int = free.getsockname()[1]
        return port


async def exchange(accepting: GrpcTransport, dialling: GrpcTransport, port: int) -> str:
    loop = asyncio.get_running_loop()
    accepted: asyncio.Future[RecordingHandler] = loop.create_future()

    def accept(pipe: Pipe) -> RecordingHandler:
        handler = RecordingHandler(pipe)
        accepted.set_result(handler)
        return handler

    await accepting.listen(accept).asFuture(loop)
    dialled: list[RecordingHandler] = []

    def attach(pipe: Pipe) -> RecordingHandler:
        dialled.append(RecordingHandler(pipe))
        return dialled[0]

    pipe = dialling.dial(f"127.0.0.1:{port}", attach)
    pipe.send(b"hello")
    ends = [asyncio.ensure_future(_wait_for_event(accepted)), dialled[0].first_event]
    done, rest = await asyncio.wait(ends, timeout=WAIT, return_when=asyncio.FIRST_COMPLETED)
    for each in rest:
        each.cancel()
    await dialling.stop().asFuture(loop)
    await accepting.stop().asFuture(loop)
    return str(done.pop().result())


async def _wait_for_event(accepted: asyncio.Future[RecordingHandler]) -> str:
    return await (await accepted).first_event


def test_hosts_of_one_authority_connect_and_others_are_refused(tmp_path: Path) -> None:
    ours, theirs = CertificateAuthority(tmp_path, "ours"), CertificateAuthority(tmp_path, "theirs")
    host, stranger = ours.sign("host"), theirs.sign("stranger")

    def run(authority: str | None, signed: SignedCertificate | None) -> str:
        async def connect() -> str:
            port = find_free_port()
            accepting, dialling = (
                make_test_transport(ours.path, host, port),
                make_test_transport(authority, signed, port),
            )
            return await exchange(accepting, dialling, port)

        return asyncio.run(connect())

    assert run(ours.path, ours.sign("other")) == "hello"
    assert run(theirs.path, stranger).startswith("closed")
    assert run(None, None).startswith("closed")


def test_the_error_names_the_setting_of_each_bad_file(tmp_path: Path) -> None:
    ours, theirs = CertificateAuthority(tmp_path, "ours"), CertificateAuthority(tmp_path, "theirs")
    good, other = ours.sign("host"), ours.sign("other")
    noise = tmp_path / "noise.pem"
    noise.write_text("-----BEGIN CERTIFICATE-----\nsecret\n-----END CERTIFICATE-----\n")
    cases = [
        (str(tmp_path / "absent.pem"), good, r"host\.authority: .*absent\.pem can not be read"),
        (str(noise), good, r"host\.authority: .*noise\.pem holds no PEM certificate"),
        (theirs.path, good, r"host\.certificate: is not signed by host\.authority: "),
        (
            ours.path,
            SignedCertificate(good.certificate, other.private_key),
            r"host\.private_key: does not fit host\.certificate",
        ),
    ]
    for authority, signed, text in cases:
        with pytest.raises(CertificateError, match=text) as caught:
            make_test_transport(authority, signed, 1)
        assert "secret" not in str(caught.value)
