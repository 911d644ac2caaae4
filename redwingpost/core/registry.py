"""Registries of named implementations, filled by decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Named implementations of one kind of behaviour.

    Parameters
    ----------
    kind : str
        Name of the kind of entry, used in error messages.

    Examples
    --------
    >>> greetings = Registry("greeting")
    >>> @greetings.register("plain")
    ... def greet():
    ...     return "hello"
    >>> greetings.get("plain")()
    'hello'
    >>> greetings.names()
    ('plain',)
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._entries_by_name: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its object under ``name``.

        Raises
        ------
        ValueError
            If the name is already registered: one of two modules would
            replace the other's entry without notice.
        """

        def add(entry: T) -> T:
            if name in self._entries_by_name:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self._entries_by_name[name] = entry
            return entry

        return add

    def get(self, name: str) -> T:
        """Return the entry called ``name``.

        Raises
        ------
        KeyError
            If there is none; the message lists the registered names.
        """
        if name not in self._entries_by_name:
            known = ", ".join(self.names())
            raise KeyError(f"unknown {self.kind} {name!r}; known: {known}")
        return self._entries_by_name[name]

    def names(self) -> tuple[str, ...]:
        """Return the registered names in alphabetical order."""
        return tuple(sorted(self._entries_by_name))

    def items(self) -> Iterator[tuple[str, T]]:
        """Iterate over names and entries in alphabetical order."""
        for name in self.names():
            yield name, self._entries_by_name[name]
