"""The configuration: its form, its keys, its acceptance and its spread."""

from redwingpost.configuration.acceptance import Accepted, Change
from redwingpost.configuration.diff import canonical, describe_changes
from redwingpost.configuration.keys import KeyRing, hash_key
from redwingpost.configuration.log import ConfigurationLog
from redwingpost.configuration.model import (
    NO_CONFIGURATION,
    Configuration,
    Group,
    KeyGrant,
    Kind,
    Organisation,
    Versioned,
    Withdrawal,
    hash_body,
)
from redwingpost.configuration.parse import parse_configuration
from redwingpost.configuration.spread import (
    ConfigurationState,
    Offer,
    mark_withdrawals,
)

__all__ = [
    "Accepted",
    "Change",
    "Configuration",
    "ConfigurationLog",
    "ConfigurationState",
    "Group",
    "KeyGrant",
    "KeyRing",
    "Kind",
    "NO_CONFIGURATION",
    "Offer",
    "Organisation",
    "Versioned",
    "Withdrawal",
    "canonical",
    "describe_changes",
    "hash_body",
    "hash_key",
    "mark_withdrawals",
    "parse_configuration",
]
