"""The configuration that one VM has, and the copies that it accepts.

Copies arrive in any order, from the store and from peers with older or
newer versions, also while the store is unavailable. The version never
decreases: an older copy is rejected whatever its source. A copy is
accepted only if its body matches its hash and is a valid configuration;
otherwise one faulty peer could take the whole fleet out of service.

Withdrawals are exchanged separately from versions, so that they spread
while the store is unavailable. They only accumulate.
"""

from collections.abc import Iterable
from enum import Enum
from hashlib import sha256

from redwingpost.configuration.model import (
    NO_CONFIGURATION,
    Configuration,
    Versioned,
    Withdrawal,
)
from redwingpost.configuration.parse import parse_configuration


class OfferResult(Enum):
    """The result of offering a copy to a VM."""

    TAKEN = "taken"
    KNOWN = "known"
    OLDER = "older"
    BROKEN = "broken"


class ConfigurationState:
    """The configuration and the withdrawals that a VM has.

    Examples
    --------
    >>> state = ConfigurationState()
    >>> state.offer(Versioned(1, "not its hash", b"{}"))
    <OfferResult.BROKEN: 'broken'>
    >>> state.version
    0
    """

    def __init__(self) -> None:
        self._current = NO_CONFIGURATION
        self._configuration: Configuration | None = None
        self._withdrawn: frozenset[Withdrawal] = frozenset()

    @property
    def version(self) -> int:
        """The number of the current version; 0 before the first."""
        return self._current.version

    @property
    def current(self) -> Versioned:
        """The current version with its hash and body."""
        return self._current

    @property
    def configuration(self) -> Configuration | None:
        """The current version, validated; None before the first."""
        return self._configuration

    @property
    def withdrawn(self) -> frozenset[Withdrawal]:
        """All withdrawals that this VM has received."""
        return self._withdrawn

    @property
    def withdrawals_mark(self) -> int:
        """A checksum of the set of withdrawals."""
        return checksum_withdrawals(self._withdrawn)

    def offer(self, copy: Versioned) -> OfferResult:
        """Accept a copy if it is newer, intact and valid."""
        if copy.version < self._current.version:
            return OfferResult.OLDER
        if copy.version == self._current.version:
            same = copy.body_hash == self._current.body_hash
            return OfferResult.KNOWN if same else OfferResult.BROKEN
        if not copy.is_intact():
            return OfferResult.BROKEN
        parsed = parse_configuration(copy.body)
        if parsed.is_error():
            return OfferResult.BROKEN
        self._current = copy
        self._configuration = parsed.ok
        self.withdraw(parsed.ok.withdrawn)
        return OfferResult.TAKEN

    def withdraw(
        self, withdrawals: Iterable[Withdrawal]
    ) -> frozenset[Withdrawal]:
        """Merge withdrawals into those received before; return new ones."""
        new = frozenset(withdrawals) - self._withdrawn
        self._withdrawn |= new
        return new

    def unrecorded(self) -> frozenset[Withdrawal]:
        """Return the withdrawals that the current version lacks.

        They were accepted while the store was unavailable, or after the
        current version.
        """
        if self._configuration is None:
            return self._withdrawn
        return self._withdrawn - self._configuration.withdrawn


def checksum_withdrawals(withdrawals: Iterable[Withdrawal]) -> int:
    """Return a 32-bit checksum of a set, independent of its order.

    If two VMs compared counts only, they would not notice that each has
    one withdrawal that the other lacks. Two different sets have the same
    checksum once in 2**32 pairs.

    Examples
    --------
    >>> checksum_withdrawals([])
    0
    >>> a, b = Withdrawal("a", "1"), Withdrawal("b", "2")
    >>> checksum_withdrawals([a, b]) == checksum_withdrawals([b, a])
    True
    """
    total = 0
    for organisation, key_hash in withdrawals:
        text = f"{organisation}|{key_hash}".encode()
        total += int.from_bytes(sha256(text).digest()[:4])
    return total % 2**32
