"""Partitioning of the targets into groups with one coordinator each."""

from __future__ import annotations

from zlib import crc32

from kingcupusher._membership.errors import UnknownGroupError

GROUP_COUNT = 32


def group_of(target_id: str) -> int:
    """Return the group of a target, which is the same in every process."""
    return crc32(target_id.encode()) % GROUP_COUNT


def validate_group(group: int) -> int:
    """Return ``group``; raise :class:`UnknownGroupError` if there is no such group."""
    if not 0 <= group < GROUP_COUNT:
        raise UnknownGroupError(f"group {group} does not exist; use 0 to {GROUP_COUNT - 1}")
    return group
