"""Validation of keys: granted, rotated, withdrawn, unconfirmed.

Every request is checked against the key ring. If keys were checked at the
handshake only, a caller could go on using a withdrawn key for as long as
it keeps its connection.

Withdrawals only accumulate: each set that arrives, from the
configuration, a peer or an operator, is merged into those received
before, so that neither an old version nor a late message makes a
withdrawn key valid again.

A VM that is partitioned from all others doesn't receive withdrawals. It
accepts keys for ``confirmation_s`` after the last confirmation, then
refuses with ``Code.KEY_UNCONFIRMED`` (see ``docs/design/keys.md``).
"""

from collections.abc import Iterable, Mapping
from hashlib import sha1
from hmac import compare_digest

from redwingpost.configuration.model import (
    Configuration,
    Organisation,
    Withdrawal,
)
from redwingpost.core import Code, Refusal


def hash_key(key: str) -> str:
    """Return SHA1(SHA1(key)) in hex, as the configuration stores it.

    This is the stored form of ``mysql_native_password``. A key has 160
    random bits (``redwingpost.operator``), which makes a brute-force
    search infeasible although the hash is fast.

    Examples
    --------
    >>> hash_key("secret")
    '14e65567abdb5135d0cfd9a70b3032c179a49ee7'
    """
    inner = sha1(key.encode(), usedforsecurity=False).digest()
    return sha1(inner, usedforsecurity=False).hexdigest()


class KeyRing:
    """The keys that one process accepts.

    Parameters
    ----------
    confirmation_s : float
        Seconds that keys are accepted after the last confirmation.

    Examples
    --------
    >>> ring = KeyRing(confirmation_s=600.0)
    >>> ring.check("diocese-puno", "0" * 40, now=0.0).code.name
    'starting'
    """

    def __init__(self, confirmation_s: float) -> None:
        self._confirmation_s = confirmation_s
        self._confirmed_at = float("-inf")
        self._organisations: Mapping[str, Organisation] | None = None
        self._withdrawn: frozenset[Withdrawal] = frozenset()

    @property
    def withdrawn(self) -> frozenset[Withdrawal]:
        """All withdrawals that this process has received."""
        return self._withdrawn

    def grant(self, configuration: Configuration) -> None:
        """Replace the granted keys and merge in the withdrawals."""
        self._organisations = configuration.organisations_by_name
        self.withdraw(configuration.withdrawn)

    def withdraw(
        self, withdrawals: Iterable[Withdrawal]
    ) -> frozenset[Withdrawal]:
        """Merge withdrawals into those received before.

        Returns
        -------
        frozenset of Withdrawal
            The new ones; connections that use these keys must be closed.
        """
        new = frozenset(withdrawals) - self._withdrawn
        self._withdrawn |= new
        return new

    def confirm(self, at: float) -> None:
        """Record that the withdrawals were current at ``at`` (seconds)."""
        self._confirmed_at = max(self._confirmed_at, at)

    def is_confirmed(self, now: float) -> bool:
        """Return whether keys may be accepted at ``now`` (seconds)."""
        return now - self._confirmed_at <= self._confirmation_s

    def hashes(self, organisation: str) -> tuple[str, ...]:
        """Return the key hashes that a handshake is checked against.

        They include withdrawn keys, which ``check`` refuses: their
        callers get ``key-withdrawn`` and not ``wrong-key``.
        """
        granted = (self._organisations or {}).get(organisation)
        if granted is None:
            return ()
        return tuple(key.key_hash for key in granted.keys_by_name.values())

    def check(
        self, organisation: str, key_hash: str, now: float
    ) -> Refusal | None:
        """Return the refusal of a request, or None if it is allowed.

        Parameters
        ----------
        organisation : str
            The organisation that the caller signed in as.
        key_hash : str
            SHA1(SHA1(key)) in hex of the key that the caller proved.
        now : float
            Seconds on the process's clock.
        """
        if self._organisations is None:
            return Refusal(Code.STARTING, retry_after_ms=500)
        if Withdrawal(organisation, key_hash) in self._withdrawn:
            return Refusal(Code.KEY_WITHDRAWN)
        if not self._is_granted(organisation, key_hash):
            return Refusal(Code.WRONG_KEY)
        if not self.is_confirmed(now):
            return Refusal(Code.KEY_UNCONFIRMED, retry_after_ms=1000)
        return None

    def _is_granted(self, organisation: str, key_hash: str) -> bool:
        return any(
            compare_digest(granted, key_hash)
            for granted in self.hashes(organisation)
        )
