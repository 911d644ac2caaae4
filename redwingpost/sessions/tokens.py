"""Session tokens: positions per group, stored by the caller.

Callers may switch between VMs, which keep no session state. Tokens are
authenticated: with forged positions a caller could make a proxy wait for
log entries that never arrive, or bypass the positions of its session. A
token contains its organisation, so that other organisations can't use
it.

Format: base64url of a MessagePack list followed by its HMAC-SHA256.
"""

from base64 import b64decode, urlsafe_b64encode
from binascii import Error as Base64Error
from collections.abc import Mapping
from hashlib import sha256
from hmac import compare_digest, digest
from typing import NamedTuple

from expression import Error, Ok, Result
from msgspec import MsgspecError
from msgspec.msgpack import Decoder, Encoder

from redwingpost.core import Code, Position, Refusal

#: Bytes of the HMAC in a token. 128 bits can't be guessed, and RFC 2104,
#: section 5 allows truncation to half of the output of SHA-256.
MAC_BYTES = 16

#: Groups and characters of one token, at most. A token is sent in the
#: leading comment of a statement. 32 groups with names of 64 characters
#: need 3.3 KB; most callers use three groups.
MAX_GROUPS = 32
MAX_TOKEN_CHARS = 8192

_FORMAT_VERSION = 1


class SessionToken(NamedTuple):
    """Contents of an authenticated token.

    ``whole`` is False if groups had to be left out; reads of those must
    go to the primary.
    """

    organisation: str
    session: str
    positions_by_group: Mapping[str, Position]
    whole: bool


class _Payload(NamedTuple):
    form: int
    organisation: str
    session: str
    whole: bool
    positions: dict[str, tuple[int, int]]


_ENCODER = Encoder()
_DECODER = Decoder(_Payload)


class TokenMinter:
    """Signs and verifies tokens.

    Parameters
    ----------
    secrets : tuple of str
        Tokens are signed with the first secret and accepted with any.
        To rotate, append the new secret on every VM, then move it to
        the front, then remove the old one.

    Raises
    ------
    ValueError
        If there is no secret.

    Examples
    --------
    >>> minter = TokenMinter(("0123456789abcdef",))
    >>> token = minter.mint("diocese-puno", "s1", {"g": Position(1, 7)})
    >>> minter.read(token, "diocese-puno").ok.positions_by_group
    {'g': Position(term=1, index=7)}
    >>> minter.read(token, "another").error.code.name
    'token-foreign'
    """

    def __init__(self, secrets: tuple[str, ...]) -> None:
        if not secrets:
            raise ValueError("session tokens need a secret")
        self._secrets = tuple(secret.encode() for secret in secrets)

    def mint(
        self,
        organisation: str,
        session: str,
        positions_by_group: Mapping[str, Position],
        whole: bool = True,
    ) -> str:
        """Return a signed token with the positions of a session."""
        kept = dict(sorted(positions_by_group.items())[:MAX_GROUPS])
        payload = _Payload(
            form=_FORMAT_VERSION,
            organisation=organisation,
            session=session,
            whole=whole and len(kept) == len(positions_by_group),
            positions={group: tuple(at) for group, at in kept.items()},
        )
        body = _ENCODER.encode(payload)
        mac = self._mac(self._secrets[0], body)
        return urlsafe_b64encode(body + mac).decode().rstrip("=")

    def read(
        self, token: str, organisation: str
    ) -> Result[SessionToken, Refusal]:
        """Verify and decode a token of a caller of ``organisation``.

        Returns
        -------
        Result
            The contents, ``Code.TOKEN_INVALID`` if the token is
            truncated or forged, or ``Code.TOKEN_FOREIGN`` if it belongs
            to another organisation.
        """
        body = self._authenticate(token)
        if body is None:
            return Error(Refusal(Code.TOKEN_INVALID))
        try:
            payload = _DECODER.decode(body)
        except MsgspecError:
            return Error(Refusal(Code.TOKEN_INVALID))
        if payload.form != _FORMAT_VERSION:
            return Error(Refusal(Code.TOKEN_INVALID, "of an unknown form"))
        if payload.organisation != organisation:
            return Error(Refusal(Code.TOKEN_FOREIGN))
        positions = {
            group: Position(*at) for group, at in payload.positions.items()
        }
        return Ok(
            SessionToken(
                organisation, payload.session, positions, payload.whole
            )
        )

    def _authenticate(self, token: str) -> bytes | None:
        """Return the body of a token, or None if its signature is wrong."""
        if not 0 < len(token) <= MAX_TOKEN_CHARS:
            return None
        padding = "=" * (-len(token) % 4)
        try:
            signed = b64decode(token + padding, altchars="-_", validate=True)
        except (Base64Error, ValueError):
            return None
        body, mac = signed[:-MAC_BYTES], signed[-MAC_BYTES:]
        genuine = any(
            compare_digest(self._mac(secret, body), mac)
            for secret in self._secrets
        )
        return body if genuine else None

    @staticmethod
    def _mac(secret: bytes, body: bytes) -> bytes:
        return digest(secret, body, sha256)[:MAC_BYTES]
