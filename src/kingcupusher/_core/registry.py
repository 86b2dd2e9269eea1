"""Registry of named objects, filled by a decorator."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from kingcupusher._core.errors import KingcupusherError

T = TypeVar("T")


class UnknownNameError(KingcupusherError):
    """Raised when a name is not in a registry."""


class Registry(Generic[T]):
    """Maps names to objects registered with :meth:`register`."""

    __slots__ = ("_items", "_kind")

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._items: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its argument under ``name``."""

        def add(item: T) -> T:
            if name in self._items:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._items[name] = item
            return item

        return add

    def get(self, name: str) -> T:
        """Return the object called ``name``; raise :class:`UnknownNameError` if there is none."""
        try:
            return self._items[name]
        except KeyError:
            known = ", ".join(sorted(self._items))
            raise UnknownNameError(f"unknown {self._kind} {name!r}; use one of: {known}") from None

    def __iter__(self) -> Iterator[str]:
        return iter(self._items)

    def __contains__(self, name: object) -> bool:
        return name in self._items
