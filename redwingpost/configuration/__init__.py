"""The configuration: its form, its keys, its acceptance and its spread."""

from redwingpost.configuration.keys import KeyRing, hash_key
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

__all__ = [
    "Configuration",
    "Group",
    "KeyGrant",
    "KeyRing",
    "Kind",
    "NO_CONFIGURATION",
    "Organisation",
    "Versioned",
    "Withdrawal",
    "hash_body",
    "hash_key",
    "parse_configuration",
]
