"""Errors of settings."""

from __future__ import annotations

from collections.abc import Sequence

from kingcupusher._core import KingcupusherError


class SettingsError(KingcupusherError):
    """Raised with the problems of all settings that are missing or not valid."""

    def __init__(self, problems: Sequence[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = tuple(problems)
