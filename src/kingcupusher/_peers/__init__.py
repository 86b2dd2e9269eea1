"""Inner protocol between entries."""

from __future__ import annotations
