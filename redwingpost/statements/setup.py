"""What a pooled connection must be told before a session may use it.

A connection serves many sessions in turn. Without this a statement would
run with another session's values, or run what another session prepared
under the same name; the caller would get a row that it never asked for.
Values must be equal to the letter, so a connection that holds one too
many is reset first. Prepared statements are kept under a name derived
from what they run, so that sessions share them and can't collide.
"""

from hashlib import blake2b
from typing import NamedTuple

from redwingpost.core.statements import Shape

#: Prepared statements kept on one connection before it is reset; bounds
#: what a member must remember for it.
MAX_PREPARED = 200

#: Bytes of the derived name: a clash of two shapes among a million has a
#: chance of 3e-8.
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


Step = Discard | SetValue | Prepare


class LinkContents:
    """What a connection is known to hold."""

    def __init__(self) -> None:
        self.values_by_name: dict[str, str] = {}
        self.prepared: set[str] = set()

    def apply(self, step: Step) -> None:
        """Note a step that the member has acknowledged."""
        if isinstance(step, Discard):
            self.values_by_name.clear()
            self.prepared.clear()
        elif isinstance(step, SetValue):
            self.values_by_name[step.name] = step.value
        else:
            self.prepared.add(step.name)


def shared_name(shape: Shape) -> str:
    """Return the name under which connections hold a shape.

    Examples
    --------
    >>> shared_name(Shape(False, "q2")) == shared_name(Shape(False, "q2"))
    True
    >>> shared_name(Shape(False, "q2")) == shared_name(Shape(True, "q2"))
    False
    """
    text = f"{int(shape.writes)} {shape.text}".encode("latin-1", "replace")
    return "p" + blake2b(text, digest_size=_DIGEST_BYTES).hexdigest()


def steps_to(
    contents: LinkContents, values_by_name: dict[str, str]
) -> tuple[Step, ...]:
    """Return the steps that make a connection ready for a session.

    Parameters
    ----------
    contents : LinkContents
        What the connection holds.
    values_by_name : dict
        The session's values: all of them, and no others, must hold.

    Examples
    --------
    >>> link = LinkContents()
    >>> steps_to(link, {"zone": "a"})
    (SetValue(name='zone', value='a'),)
    >>> link.apply(SetValue("tone", "b"))
    >>> steps_to(link, {})
    (Discard(),)
    """
    steps: list[Step] = []
    held = contents.values_by_name
    is_full = len(contents.prepared) > MAX_PREPARED
    if held.keys() - values_by_name.keys() or is_full:
        steps.append(Discard())
        held = {}
    steps.extend(
        SetValue(name, value)
        for name, value in values_by_name.items()
        if held.get(name) != value
    )
    return tuple(steps)


def missing_shape(
    contents: LinkContents, shape: Shape | None
) -> Prepare | None:
    """Return how to prepare a shape; None where nothing is missing.

    Examples
    --------
    >>> link = LinkContents()
    >>> missing = missing_shape(link, Shape(False, "q2"))
    >>> link.apply(missing)
    >>> missing_shape(link, Shape(False, "q2")) is None
    True
    """
    if shape is None or shared_name(shape) in contents.prepared:
        return None
    return Prepare(shared_name(shape), shape)


def setup_count(
    contents: LinkContents,
    values_by_name: dict[str, str],
    shape: Shape | None,
) -> int:
    """Return how many steps a connection lacks for a statement."""
    missing = missing_shape(contents, shape)
    return len(steps_to(contents, values_by_name)) + (missing is not None)
