"""Authenticate callers by the keys of their organisations."""

from collections.abc import AsyncGenerator
from hashlib import sha1
from secrets import choice
from string import ascii_letters, digits
from typing import Any, Protocol

from mysql_mimic.auth import (
    AuthInfo,
    Forbidden,
    IdentityProvider,
    NativePasswordAuthPlugin,
    Success,
    User,
)

from redwingpost.core import Code, Refusal

_NONCE_LETTERS = ascii_letters + digits
_NONCE_LENGTH = 20


class Authenticator(Protocol):
    """Source of the valid keys of organisations."""

    def key_hashes(self, organisation: str) -> tuple[str, ...]:
        """Return SHA1(SHA1(key)) in hexadecimal for each valid key."""


class KeyAuthPlugin(NativePasswordAuthPlugin):
    """MySQL's native password check against all valid keys.

    The user name that it reports contains the hash of the matching key,
    so that the connections of a withdrawn key can be identified later.
    """

    def __init__(self, authenticator: Authenticator) -> None:
        self._authenticator = authenticator

    async def auth(
        self, auth_info: AuthInfo | None = None
    ) -> AsyncGenerator[Any, AuthInfo]:
        """Run the challenge and response; yields data for the client."""
        if auth_info and auth_info.handshake_auth_data:
            nonce = auth_info.handshake_auth_data.rstrip(b"\x00")
        else:
            nonce = _make_nonce()
            auth_info = yield nonce + b"\x00"
        name = auth_info.user.name
        key_hash = self._match(name, auth_info.data, nonce)
        if key_hash is None:
            yield Forbidden(Refusal(Code.WRONG_KEY).describe())
        else:
            yield Success(f"{key_hash}:{name}")

    def _match(self, name: str, scramble: bytes, nonce: bytes) -> str | None:
        for key_hash in self._authenticator.key_hashes(name):
            if _scramble_matches(key_hash, scramble, nonce):
                return key_hash
        return None


def _make_nonce() -> bytes:
    return "".join(
        choice(_NONCE_LETTERS) for _ in range(_NONCE_LENGTH)
    ).encode()


def _scramble_matches(key_hash: str, scramble: bytes, nonce: bytes) -> bool:
    if len(scramble) != _NONCE_LENGTH:
        return False
    stored = bytes.fromhex(key_hash)
    mask = sha1(nonce + stored).digest()
    stage_one = bytes(a ^ b for a, b in zip(scramble, mask))
    return sha1(stage_one).digest() == stored


class KeyIdentityProvider(IdentityProvider):
    """Accepts every user name and checks its key.

    Unknown organisations fail only the key check: a different answer for
    them would let strangers enumerate organisations.
    """

    def __init__(self, authenticator: Authenticator) -> None:
        self._plugin = KeyAuthPlugin(authenticator)

    def get_plugins(self) -> list[KeyAuthPlugin]:
        """Return the only plugin."""
        return [self._plugin]

    async def get_user(self, username: str) -> User:
        """Return a user with the given name."""
        return User(name=username, auth_plugin=self._plugin.name)
