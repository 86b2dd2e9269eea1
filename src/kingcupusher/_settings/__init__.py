"""Settings from flags and environment variables."""

from __future__ import annotations
