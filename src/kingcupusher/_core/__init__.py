"""Definitions shared by all other packages: clock, base exception and registry."""

from __future__ import annotations

from kingcupusher._core.clock import now_ms
from kingcupusher._core.errors import KingcupusherError
from kingcupusher._core.registry import Registry

__all__ = ["KingcupusherError", "Registry", "now_ms"]
