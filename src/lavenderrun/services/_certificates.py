"""Certificates and keys in PEM files, checked before use so that an error names its setting."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import grpc
from OpenSSL import SSL, crypto

from lavenderrun.types import HostSettings


class CertificateError(Exception):
    """A certificate or key that can't be used; the text names the setting, never the content."""


@dataclass(frozen=True)
class LinkCredentials:
    """Credentials for mutual TLS on the links between daemons.

    :param server: for accepted links; requires a certificate of the dialling daemon as well.
    :param channel: for dialled links.
    """

    server: Any
    channel: Any


def make_link_credentials(settings: HostSettings) -> LinkCredentials | None:
    """Return the credentials that a host's settings name, ``None`` for plain TCP.

    :raises CertificateError: names the setting whose file is missing or does not fit.
    """
    paths = (settings.authority, settings.certificate, settings.private_key)
    if not any(paths):
        return None
    names = ("host.authority", "host.certificate", "host.private_key")
    authority, certificate, key = (
        read_pem(name, path) for name, path in zip(names, paths, strict=True)
    )
    _check_pair(certificate, key)
    _check_signed(authority, certificate)
    return LinkCredentials(
        grpc.ssl_server_credentials([(key, certificate)], authority, require_client_auth=True),
        grpc.ssl_channel_credentials(authority, key, certificate),
    )


def read_pem(setting: str, path: str | None) -> bytes:
    """Return the content of the PEM file that *setting* names.

    :raises CertificateError: when it is missing, unreadable or holds something else.
    """
    if path is None:
        msg = f"{setting}: is missing; certificate and private_key go together"
        raise CertificateError(msg)
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as error:
        msg = f"{setting}: {path} can not be read: {error.strerror}"
        raise CertificateError(msg) from error
    is_key = setting.endswith("private_key")
    load: Any = crypto.load_privatekey if is_key else crypto.load_certificate
    try:
        load(crypto.FILETYPE_PEM, data)
    except (crypto.Error, ValueError, TypeError) as error:
        what = "private key" if is_key else "certificate"
        msg = f"{setting}: {path} holds no PEM {what}"
        raise CertificateError(msg) from error
    return data


def _check_pair(certificate: bytes, key: bytes) -> None:
    context = SSL.Context(SSL.TLS_METHOD)
    leaf = crypto.load_certificate(crypto.FILETYPE_PEM, certificate).to_cryptography()
    context.use_certificate(leaf)
    loaded: Any = crypto.load_privatekey(crypto.FILETYPE_PEM, key).to_cryptography_key()
    try:
        context.use_privatekey(loaded)
        context.check_privatekey()
    except SSL.Error as error:
        msg = "host.private_key: does not fit host.certificate"
        raise CertificateError(msg) from error


def _check_signed(authority: bytes, certificate: bytes) -> None:
    store = crypto.X509Store()
    store.add_cert(crypto.load_certificate(crypto.FILETYPE_PEM, authority))
    leaf, *chain = _split_chain(certificate)
    try:
        crypto.X509StoreContext(store, leaf, chain).verify_certificate()
    except crypto.X509StoreContextError as error:
        msg = f"host.certificate: is not signed by host.authority: {error}"
        raise CertificateError(msg) from error


def _split_chain(data: bytes) -> list[crypto.X509]:
    end = b"-----END CERTIFICATE-----"
    parts = [part + end for part in data.split(end) if b"-----BEGIN CERTIFICATE-----" in part]
    return [crypto.load_certificate(crypto.FILETYPE_PEM, part) for part in parts]
