"""New keys: made at random, shown once, kept only as a hash."""

from secrets import token_urlsafe
from typing import NamedTuple

from redwingpost.configuration.keys import hash_key

#: Random bytes of a key. The configuration keeps a fast hash, which an
#: attacker who reads it may try guesses against; 160 random bits can't
#: be guessed at any speed.
KEY_BYTES = 20


class NewKey(NamedTuple):
    """A key and the hash that the configuration keeps of it."""

    key: str
    key_hash: str

    def __repr__(self) -> str:
        """Leave the key out: reprs end up in logs."""
        return f"NewKey(key_hash={self.key_hash!r})"


def make_key() -> NewKey:
    """Return a new random key.

    Examples
    --------
    >>> new = make_key()
    >>> len(new.key), len(new.key_hash)
    (27, 40)
    """
    key = token_urlsafe(KEY_BYTES)
    return NewKey(key, hash_key(key))
