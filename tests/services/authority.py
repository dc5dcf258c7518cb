"""A certificate authority that signs certificates for tests."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from ipaddress import ip_address
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID


@dataclass
class SignedCertificate:
    certificate: str
    private_key: str


class CertificateAuthority:
    def __init__(self, folder: Path, name: str) -> None:
        self._folder = folder
        self._name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self._key = ec.generate_private_key(ec.SECP256R1())
        self.path = str(folder / f"{name}.pem")
        builder = self._build(self._name, self._key).add_extension(
            x509.BasicConstraints(ca=True, path_length=0), critical=True
        )
        self._write(self.path, builder)

    def sign(self, name: str) -> SignedCertificate:
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        address = x509.SubjectAlternativeName([x509.IPAddress(ip_address("127.0.0.1"))])
        signed = SignedCertificate(
            str(self._folder / f"{name}.pem"), str(self._folder / f"{name}.key")
        )
        self._write(signed.certificate, self._build(subject, key).add_extension(address, False))
        form = serialization.PrivateFormat.PKCS8
        pem = key.private_bytes(serialization.Encoding.PEM, form, serialization.NoEncryption())
        Path(signed.private_key).write_bytes(pem)
        return signed

    def _build(
        self, subject: x509.Name, key: ec.EllipticCurvePrivateKey
    ) -> x509.CertificateBuilder:
        now = datetime.now(UTC)
        builder = x509.CertificateBuilder().subject_name(subject).issuer_name(self._name)
        builder = builder.public_key(key.public_key()).serial_number(x509.random_serial_number())
        return builder.not_valid_before(now - timedelta(hours=1)).not_valid_after(
            now + timedelta(days=1)
        )

    def _write(self, path: str, builder: x509.CertificateBuilder) -> None:
        signed = builder.sign(self._key, hashes.SHA256())
        Path(path).write_bytes(signed.public_bytes(serialization.Encoding.PEM))
