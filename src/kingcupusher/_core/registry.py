"""Registry that a decorator fills."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from kingcupusher._core.errors import KingcupusherError

T = TypeVar("T")


class UnknownNameError(KingcupusherError):
    """Raised when a name is not in a registry."""


class Registry(Generic[T]):
    """Maps names to objects registered with :meth:`register`."""

    __slots__ = ("_entries", "_kind")

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its argument under ``name``."""

        def add(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return add

    def get(self, name: str) -> T:
        """Return the entry called ``name``; raise :class:`UnknownNameError` if there is none."""
        try:
            return self._entries[name]
        except KeyError:
            known = ", ".join(sorted(self._entries))
            raise UnknownNameError(f"unknown {self._kind} {name!r}; use one of: {known}") from None

    def __iter__(self) -> Iterator[str]:
        return iter(self._entries)

    def __contains__(self, name: object) -> bool:
        return name in self._entries
