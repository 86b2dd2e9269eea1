"""How often targets renew their registration; without imports, as settings are read early."""

from __future__ import annotations

DEFAULT_HEARTBEAT_MS = 1_500.0
"""Used if the platform states no interval."""
