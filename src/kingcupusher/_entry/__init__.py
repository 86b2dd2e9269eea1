"""Composition of the entry process."""

from __future__ import annotations

from kingcupusher._entry.process import run_entry

__all__ = ["run_entry"]
