"""Settings and strategies for fuzz tests of untrusted input."""

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
    """Return Hypothesis settings that generate ``inputs`` examples.

    Derandomized and without a database, so that every run, also in CI,
    uses the same inputs. No deadline, since test environments differ in
    speed.
    """
    return settings(
        max_examples=inputs,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )


#: Any JSON value. Tests add the keys that their format defines.
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
