"""How inputs of strangers are fuzzed: the same inputs in every run."""

from hypothesis import HealthCheck, settings
from hypothesis.strategies import (
    binary,
    booleans,
    dictionaries,
    floats,
    integers,
    lists,
    none,
    recursive,
    text,
)


def fuzz(inputs: int):
    """Return Hypothesis settings for so many inputs.

    Derandomized and without a database, so that CI sees what we see; no
    deadline, since the machines differ.
    """
    return settings(
        max_examples=inputs,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )


#: Any JSON value, with keys that the formats know mixed in elsewhere.
JSON_VALUES = recursive(
    none()
    | booleans()
    | integers()
    | floats(allow_nan=True, allow_infinity=True)
    | text(max_size=20),
    lambda inner: lists(inner, max_size=4)
    | dictionaries(text(max_size=12), inner, max_size=4),
    max_leaves=12,
)

BYTES = binary(max_size=200)
