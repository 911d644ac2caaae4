"""Which keys are honoured: granted, rotated, withdrawn, unconfirmed.

Answers callers that go on with a key after it was withdrawn, on
connections opened before. Each request asks the key ring again; checked
only at the handshake, a withdrawn caller would stay for as long as it
keeps its connection.

Withdrawals only ever accumulate: whichever copy of the set arrives, from
the configuration, a peer or an operator, is unioned in, so that neither
an old version nor a late message brings a key back.

A VM that is cut off from everyone can't hear of withdrawals. It honours
keys for ``confirmation_s`` after the last confirmation, then refuses
with ``Code.KEY_UNCONFIRMED`` (grounds in ``docs/design/keys.md``).
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
    """Return SHA1(SHA1(key)) in hex, as the configuration keeps it.

    This is the stored form of ``mysql_native_password``; a key is 160
    random bits (``redwingpost.operator``), so that the fast hash can't
    be searched.

    Examples
    --------
    >>> hash_key("secret")
    '14e65567abdb5135d0cfd9a70b3032c179a49ee7'
    """
    inner = sha1(key.encode(), usedforsecurity=False).digest()
    return sha1(inner, usedforsecurity=False).hexdigest()


class KeyRing:
    """The keys that one process honours.

    Parameters
    ----------
    confirmation_s : float
        Seconds that keys are honoured after the last confirmation.

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
        """All withdrawals this process has ever heard of."""
        return self._withdrawn

    def grant(self, configuration: Configuration) -> None:
        """Take the keys of a configuration and its withdrawals."""
        self._organisations = configuration.organisations_by_name
        self.withdraw(configuration.withdrawn)

    def withdraw(
        self, withdrawals: Iterable[Withdrawal]
    ) -> frozenset[Withdrawal]:
        """Union withdrawals in.

        Returns
        -------
        frozenset of Withdrawal
            Those that are new, whose connections must be cut short.
        """
        new = frozenset(withdrawals) - self._withdrawn
        self._withdrawn |= new
        return new

    def confirm(self, at: float) -> None:
        """Note that the withdrawals were current at ``at`` (seconds)."""
        self._confirmed_at = max(self._confirmed_at, at)

    def is_confirmed(self, now: float) -> bool:
        """Say whether keys may be honoured at ``now`` (seconds)."""
        return now - self._confirmed_at <= self._confirmation_s

    def hashes(self, organisation: str) -> tuple[str, ...]:
        """Return the hashes that a handshake may be checked against.

        Withdrawn keys are among them, so that their callers are told
        ``key-withdrawn`` and not ``wrong-key``; ``check`` refuses them.
        """
        granted = (self._organisations or {}).get(organisation)
        if granted is None:
            return ()
        return tuple(key.key_hash for key in granted.keys_by_name.values())

    def check(
        self, organisation: str, key_hash: str, now: float
    ) -> Refusal | None:
        """Return why a request must be refused, or None to serve it.

        Parameters
        ----------
        organisation : str
            Whom the caller says it is.
        key_hash : str
            SHA1(SHA1(key)) in hex of the key it proved to hold.
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
            compare_digest(known, key_hash)
            for known in self.hashes(organisation)
        )
