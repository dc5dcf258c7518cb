"""Listening ports for TCP and TLS, and checks of their certificates."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from OpenSSL import SSL, crypto
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import ServerFactory
from twisted.internet.ssl import DefaultOpenSSLContextFactory
from twisted.protocols.tls import TLSMemoryBIOFactory

from lavenderrun.services._certificates import CertificateError, read_pem
from lavenderrun.services._eager_tcp import EagerPort

BACKLOG = 512


class ListenError(Exception):
    """A listening address or certificate that can not be used; the text names the setting."""


class Listener:
    """One listening port.

    :param listen: IP address and port; port 0 lets the system choose.
    :param tls: paths of certificate and private key, ``None`` for plain TCP.
    """

    def __init__(self, listen: str, tls: tuple[str | None, str | None] | None) -> None:
        host, _, port = listen.rpartition(":")
        self._host = host.strip("[]")
        self._requested_port = int(port)
        self._tls = tls
        self._port: Any = None

    @property
    def port(self) -> int:
        """The port that is open."""
        return int(self._port.getHost().port)

    @property
    def address(self) -> str:
        """The IP address and port that are open."""
        return f"{self._host}:{self.port}"

    def open(
        self, make_factory: Callable[[IReactorTime], ServerFactory], reactor: Any = None
    ) -> None:
        """Open the port.

        :param make_factory: returns the factory of connections for a reactor.
        :param reactor: the running one unless given.
        :raises ListenError: when the address is taken or the certificate is bad.
        """
        if reactor is None:
            from twisted.internet import reactor  # imported late: the daemon installs its own first

        context: Any = make_tls_context(*self._tls) if self._tls is not None else None
        factory: Any = make_factory(reactor)
        wrapped: Any = factory if context is None else TLSMemoryBIOFactory(context, False, factory)
        try:
            self._port = EagerPort(self._requested_port, wrapped, BACKLOG, self._host, reactor)
            self._port.startListening()
        except Exception as error:
            msg = f"listen: {self._host}:{self._requested_port} can not be used: {error}"
            raise ListenError(msg) from error

    def close(self) -> None:
        """Stop accepting connections; open ones stay."""
        if self._port is not None:
            self._port.stopListening()


def make_tls_context(
    certificate: str | None, private_key: str | None
) -> DefaultOpenSSLContextFactory:
    """Return the TLS context of a listener.

    :raises ListenError: when a file is missing, unreadable or does not fit; names its setting.
    """
    try:
        for setting, path in (("certificate", certificate), ("private_key", private_key)):
            read_pem(setting, path)
    except CertificateError as error:
        raise ListenError(str(error)) from error
    try:
        return DefaultOpenSSLContextFactory(private_key, certificate, SSL.TLS_METHOD)
    except (SSL.Error, crypto.Error) as error:
        msg = f"private_key: {private_key} does not fit certificate {certificate}"
        raise ListenError(msg) from error


def check_tls_files(section: str, certificate: str | None, private_key: str | None) -> None:
    """Check certificate and key before any port is opened.

    :param section: section of the settings that names the files.
    :raises ListenError: when a file is bad; names section and setting.
    """
    if certificate is None and private_key is None:
        return
    try:
        make_tls_context(certificate, private_key)
    except ListenError as error:
        msg = f"{section}.{error}"
        raise ListenError(msg) from error
