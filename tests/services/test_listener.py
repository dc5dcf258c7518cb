from __future__ import annotations

from datetime import UTC, datetime, timedelta
from pathlib import Path

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from lavenderrun.services import ListenError
from lavenderrun.services._listener import make_tls_context


def make_key() -> ec.EllipticCurvePrivateKey:
    return ec.generate_private_key(ec.SECP256R1())


def write_key(path: Path, key: ec.EllipticCurvePrivateKey) -> str:
    form = serialization.PrivateFormat.PKCS8
    pem = key.private_bytes(serialization.Encoding.PEM, form, serialization.NoEncryption())
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
    noise = tmp_path / "noise.pem"
    noise.write_text("no PEM")
    with pytest.raises(ListenError, match=r"private_key: is missing"):
        make_tls_context(certificate, None)
    with pytest.raises(ListenError, match=r"certificate: .*absent.pem can not be read"):
        make_tls_context(str(tmp_path / "absent.pem"), private_key)
    with pytest.raises(ListenError, match=r"certificate: .*noise.pem holds no PEM certificate"):
        make_tls_context(str(noise), private_key)
    with pytest.raises(ListenError, match=r"private_key: .*noise.pem holds no PEM private key"):
        make_tls_context(certificate, str(noise))
    with pytest.raises(ListenError, match=r"private_key: .*other.key does not fit"):
        make_tls_context(certificate, other)
