"""The entry process and its components."""

from __future__ import annotations

from kingcupusher._entry.process import run_entry

__all__ = ["run_entry"]
