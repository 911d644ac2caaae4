"""Operators that submit configurations and withdraw keys in a run."""

from json import dumps
from time import monotonic
from typing import Any, NamedTuple

from expression import Result

from redwingpost.adapters.platform_http import HttpPlatform
from redwingpost.configuration.acceptance import Accepted, Change
from redwingpost.configuration.keys import hash_key
from redwingpost.configuration.log import ConfigurationLog
from redwingpost.configuration.model import Withdrawal
from redwingpost.bench.callers import Credential
from redwingpost.core import Refusal
from redwingpost.settings import PlatformSettings

#: Timeout of an operator's request to the store, in seconds.
STORE_TIMEOUT_S = 2.0


class Submission(NamedTuple):
    """A change's result, and when the operator received it."""

    result: Result[Accepted, Refusal]
    at: float

    @property
    def accepted(self) -> bool:
        """Whether the change was accepted."""
        return self.result.is_ok()


class Operator:
    """One operator with a connection to the platform.

    Parameters
    ----------
    name : str
        Name in the audit trail.
    platform_url : str
        URL of the platform.
    """

    def __init__(self, name: str, platform_url: str) -> None:
        self.name = name
        self._count = 0
        self._platform = HttpPlatform(
            PlatformSettings(platform_url, STORE_TIMEOUT_S)
        )
        self._log = ConfigurationLog(self._platform, self._platform)

    def _make_change(self, body: bytes, base: int) -> Change:
        self._count += 1
        submission = f"{self.name}-{self._count}"
        return Change(body, base, self.name, "", submission)

    async def submit(
        self, configuration: dict[str, Any], base: int
    ) -> Submission:
        """Submit a configuration that was edited from version ``base``."""
        body = dumps(configuration).encode()
        result = await self._log.submit(self._make_change(body, base))
        return Submission(result, monotonic())

    async def withdraw(self, credential: Credential) -> Submission:
        """Withdraw a key."""
        withdrawal = Withdrawal(
            credential.organisation, hash_key(credential.key)
        )
        change = self._make_change(b"", 0)
        result = await self._log.withdraw([withdrawal], change)
        return Submission(result, monotonic())

    async def close(self) -> None:
        """Close the connection to the platform."""
        await self._platform.stop()
