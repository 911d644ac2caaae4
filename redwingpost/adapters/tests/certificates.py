"""Test certificates: an authority and the certificates that it signs."""

from datetime import datetime, timedelta, timezone
from pathlib import Path

from cryptography.hazmat.primitives.asymmetric.ec import (
    SECP256R1,
    EllipticCurvePrivateKey,
    generate_private_key,
)
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
)
from cryptography.x509 import (
    BasicConstraints,
    Certificate,
    CertificateBuilder,
    Name,
    NameAttribute,
    random_serial_number,
)
from cryptography.x509.oid import NameOID

from redwingpost.settings import TlsSettings


class Authority:
    """A certificate authority for the duration of a test."""

    def __init__(self, name: str) -> None:
        self._key = generate_private_key(SECP256R1())
        self._name = _name(name)
        self._certificate = self._sign(self._name, self._key, True)

    def write(self, folder: Path, vm: str) -> TlsSettings:
        """Sign a certificate for a VM and write all its files."""
        key = generate_private_key(SECP256R1())
        certificate = self._sign(_name(vm), key, False)
        settings = TlsSettings(
            certificate=str(folder / f"{vm}.pem"),
            private_key=str(folder / f"{vm}.key"),
            authority=str(folder / "authority.pem"),
        )
        Path(settings.private_key).write_bytes(
            key.private_bytes(
                Encoding.PEM, PrivateFormat.PKCS8, NoEncryption()
            )
        )
        Path(settings.certificate).write_bytes(_pem(certificate))
        Path(settings.authority).write_bytes(_pem(self._certificate))
        return settings

    def _sign(
        self, subject: Name, key: EllipticCurvePrivateKey, is_authority: bool
    ) -> Certificate:
        now = datetime.now(timezone.utc)
        builder = (
            CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(random_serial_number())
            .not_valid_before(now - timedelta(hours=1))
            .not_valid_after(now + timedelta(hours=1))
            .add_extension(BasicConstraints(is_authority, None), True)
        )
        return builder.sign(self._key, SHA256())


def _name(common_name: str) -> Name:
    return Name([NameAttribute(NameOID.COMMON_NAME, common_name)])


def _pem(certificate: Certificate) -> bytes:
    return certificate.public_bytes(Encoding.PEM)
