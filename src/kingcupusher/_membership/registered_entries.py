"""Registered entries, and entries that may still run after their registration ended."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from msgspec import Struct

from kingcupusher._membership.bounds import DEREGISTERED_RETENTION_MS
from kingcupusher._membership.peers import EntryId


class GrantHolders(Struct, frozen=True):
    """Other entries that may hold a permission for a target.

    ``entries`` can be asked to acknowledge a revocation; deregistered entries cannot.
    """

    entries: set[EntryId]
    has_deregistered: bool


class RegisteredEntries:
    """Entries listed by the key-value service at the last successful read."""

    __slots__ = ("_deregistered", "_own_id", "_registered")

    def __init__(self, own_id: EntryId) -> None:
        self._own_id = own_id
        self._registered: dict[int, EntryId] = {}
        self._deregistered: dict[EntryId, float] = {}

    @property
    def ids(self) -> frozenset[EntryId]:
        """The registered entries, including this one if it is registered."""
        return frozenset(self._registered.values())

    def others(self, *, now_ms: float) -> set[EntryId]:
        """Return the other entries that are registered or may still run without a registration."""
        self._discard_expired(now_ms)
        return {*self._registered.values(), *self._deregistered} - {self._own_id}

    def replace(
        self, boot_ids: Mapping[int, int], *, drained: Collection[EntryId], now_ms: float
    ) -> None:
        """Replace the list of registered entries, given as boot id by seat.

        An entry that announced its drain sends no new requests after its registration ended.
        """
        registered = {seat: EntryId(seat, boot_id) for seat, boot_id in boot_ids.items()}
        gone = set(self._registered.values()) - set(registered.values())
        self._mark_deregistered(gone - set(drained), now_ms)
        self._registered = registered

    def grant_holders(self, heard: Iterable[EntryId], *, now_ms: float) -> GrantHolders:
        """Return the entries that may use a target, given the recently heard peers."""
        self._discard_expired(now_ms)
        entries = {*self._registered.values(), *heard} - {self._own_id}
        return GrantHolders(entries, has_deregistered=not self._deregistered.keys() <= entries)

    def _discard_expired(self, now_ms: float) -> None:
        self._deregistered = {e: until for e, until in self._deregistered.items() if now_ms < until}

    def _mark_deregistered(self, entries: Iterable[EntryId], now_ms: float) -> None:
        for entry in entries:
            self._deregistered[entry] = now_ms + DEREGISTERED_RETENTION_MS
