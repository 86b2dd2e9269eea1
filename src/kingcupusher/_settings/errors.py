"""Errors of settings."""

from __future__ import annotations

from collections.abc import Sequence

from kingcupusher._core import KingcupusherError


class SettingsError(KingcupusherError):
    """Raised once with every setting that is missing or out of range."""

    def __init__(self, problems: Sequence[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = tuple(problems)
