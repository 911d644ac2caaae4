"""New keys: generated at random, shown once, stored only as a hash."""

from secrets import token_urlsafe
from typing import NamedTuple

from redwingpost.configuration.keys import hash_key

#: Random bytes of a key. The configuration stores a fast hash, which
#: allows offline guesses by anyone who reads it; 160 random bits make a
#: brute-force search infeasible.
KEY_BYTES = 20


class NewKey(NamedTuple):
    """A key and the hash that the configuration stores."""

    key: str
    key_hash: str

    def __repr__(self) -> str:
        """Omit the key, since a repr may be logged."""
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
