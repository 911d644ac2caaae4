"""Set-up steps that a pooled connection needs before a session uses it.

A connection serves many sessions in turn. Without set-up a statement
would run with another session's values, or run what another session
prepared under the same name, and the caller would get wrong rows. The
connection's values must be exactly those of the session, so a connection
that has others in addition is reset first. Prepared statements get a name
derived from their shape, so that sessions share them without collisions.
"""

from hashlib import blake2b
from typing import NamedTuple

from redwingpost.core.statements import Shape

#: Prepared statements on one connection before it is reset, to bound the
#: memory that a member needs for it.
MAX_PREPARED = 200

#: Bytes of the derived name: the probability of a collision among a million
#: shapes is 3e-8.
_DIGEST_BYTES = 8


class Discard(NamedTuple):
    """Drop all values and prepared statements."""


class SetValue(NamedTuple):
    """Set one session value."""

    name: str
    value: str


class Prepare(NamedTuple):
    """Prepare one statement."""

    name: str
    shape: Shape


SetupStep = Discard | SetValue | Prepare


class LinkContents:
    """Session values and prepared statements on a connection."""

    def __init__(self) -> None:
        self.values_by_name: dict[str, str] = {}
        self.prepared: set[str] = set()

    def apply(self, step: SetupStep) -> None:
        """Apply a step that the member has acknowledged."""
        if isinstance(step, Discard):
            self.values_by_name.clear()
            self.prepared.clear()
        elif isinstance(step, SetValue):
            self.values_by_name[step.name] = step.value
        else:
            self.prepared.add(step.name)


def prepared_name(shape: Shape) -> str:
    """Return the name under which a shape is prepared on connections.

    Examples
    --------
    >>> prepared_name(Shape(False, "q2")) == prepared_name(Shape(False, "q2"))
    True
    >>> prepared_name(Shape(False, "q2")) == prepared_name(Shape(True, "q2"))
    False
    """
    text = f"{int(shape.writes)} {shape.text}".encode("latin-1", "replace")
    return "p" + blake2b(text, digest_size=_DIGEST_BYTES).hexdigest()


def setup_steps(
    contents: LinkContents, values_by_name: dict[str, str]
) -> tuple[SetupStep, ...]:
    """Return the steps that set up a connection for a session.

    Parameters
    ----------
    contents : LinkContents
        Current state of the connection.
    values_by_name : dict
        The session's values; afterwards the connection has exactly
        these.

    Examples
    --------
    >>> link = LinkContents()
    >>> setup_steps(link, {"zone": "a"})
    (SetValue(name='zone', value='a'),)
    >>> link.apply(SetValue("tone", "b"))
    >>> setup_steps(link, {})
    (Discard(),)
    """
    steps: list[SetupStep] = []
    current_values = contents.values_by_name
    has_too_many_prepared = len(contents.prepared) > MAX_PREPARED
    if current_values.keys() - values_by_name.keys() or has_too_many_prepared:
        steps.append(Discard())
        current_values = {}
    steps.extend(
        SetValue(name, value)
        for name, value in values_by_name.items()
        if current_values.get(name) != value
    )
    return tuple(steps)


def prepare_step(
    contents: LinkContents, shape: Shape | None
) -> Prepare | None:
    """Return the step that prepares a shape, or None if none is needed.

    Examples
    --------
    >>> link = LinkContents()
    >>> missing = prepare_step(link, Shape(False, "q2"))
    >>> link.apply(missing)
    >>> prepare_step(link, Shape(False, "q2")) is None
    True
    """
    if shape is None or prepared_name(shape) in contents.prepared:
        return None
    return Prepare(prepared_name(shape), shape)


def count_setup_steps(
    contents: LinkContents,
    values_by_name: dict[str, str],
    shape: Shape | None,
) -> int:
    """Return how many set-up steps a connection needs for a statement."""
    missing = prepare_step(contents, shape)
    return len(setup_steps(contents, values_by_name)) + (missing is not None)
