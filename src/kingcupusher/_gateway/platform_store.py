"""Operations of the platform's store that an entry uses."""

from __future__ import annotations

from typing import Protocol

from kingcupusher._discovery import ChangeSource
from kingcupusher._gateway.crash_reports import CrashStore
from kingcupusher._gateway.rollouts import RolloutStore
from kingcupusher._relay import ReaderSlotStore


class PlatformStore(ChangeSource, ReaderSlotStore, CrashStore, RolloutStore, Protocol):
    """All operations together."""

    @property
    def call_count(self) -> int:
        """Number of calls since the start."""
