"""What one VM holds of the configuration, and what it takes from others.

Answers copies that arrive from the store, from peers that lag and from
peers that run ahead, in any order, while the store may be down. Versions
never go back: an older copy is not taken, whoever offers it. A copy is
taken only if its body has the hash it claims and reads as a
configuration; else one broken peer would put a fleet off the air.

Withdrawals travel beside the versions and ahead of them, since they
can't wait for a store that is away; they only ever accumulate.
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


class Offer(Enum):
    """What became of a copy that was offered."""

    TAKEN = "taken"
    KNOWN = "known"
    OLDER = "older"
    BROKEN = "broken"


class ConfigurationState:
    """The configuration and the withdrawals that a VM holds.

    Examples
    --------
    >>> state = ConfigurationState()
    >>> state.offer(Versioned(1, "not its hash", b"{}"))
    <Offer.BROKEN: 'broken'>
    >>> state.version
    0
    """

    def __init__(self) -> None:
        self._current = NO_CONFIGURATION
        self._configuration: Configuration | None = None
        self._withdrawn: frozenset[Withdrawal] = frozenset()

    @property
    def version(self) -> int:
        """The version held; 0 before any."""
        return self._current.version

    @property
    def current(self) -> Versioned:
        """The version held, as it travels."""
        return self._current

    @property
    def configuration(self) -> Configuration | None:
        """The version held, checked."""
        return self._configuration

    @property
    def withdrawn(self) -> frozenset[Withdrawal]:
        """Every withdrawal heard of."""
        return self._withdrawn

    @property
    def withdrawals_mark(self) -> int:
        """A number that tells sets of withdrawals apart."""
        return mark_withdrawals(self._withdrawn)

    def offer(self, copy: Versioned) -> Offer:
        """Take a copy if it is newer, whole and valid."""
        if copy.version < self._current.version:
            return Offer.OLDER
        if copy.version == self._current.version:
            same = copy.body_hash == self._current.body_hash
            return Offer.KNOWN if same else Offer.BROKEN
        if not copy.is_intact():
            return Offer.BROKEN
        parsed = parse_configuration(copy.body)
        if parsed.is_error():
            return Offer.BROKEN
        self._current = copy
        self._configuration = parsed.ok
        self.withdraw(parsed.ok.withdrawn)
        return Offer.TAKEN

    def withdraw(
        self, withdrawals: Iterable[Withdrawal]
    ) -> frozenset[Withdrawal]:
        """Union withdrawals in and return those that are new."""
        new = frozenset(withdrawals) - self._withdrawn
        self._withdrawn |= new
        return new

    def unrecorded(self) -> frozenset[Withdrawal]:
        """Return the withdrawals that the version held doesn't record.

        They were accepted while the store was away, or a moment ago.
        """
        if self._configuration is None:
            return self._withdrawn
        return self._withdrawn - self._configuration.withdrawn


def mark_withdrawals(withdrawals: Iterable[Withdrawal]) -> int:
    """Return a 32-bit sum over a set, whatever its order.

    Two VMs that compare counts only would not notice that each has one
    withdrawal that the other lacks. Two different sets share a mark once
    in four thousand million pairs.

    Examples
    --------
    >>> mark_withdrawals([])
    0
    >>> a, b = Withdrawal("a", "1"), Withdrawal("b", "2")
    >>> mark_withdrawals([a, b]) == mark_withdrawals([b, a])
    True
    """
    total = 0
    for organisation, key_hash in withdrawals:
        text = f"{organisation}|{key_hash}".encode()
        total += int.from_bytes(sha256(text).digest()[:4])
    return total % 2**32
