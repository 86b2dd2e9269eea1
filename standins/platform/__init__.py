"""Stand-in for the platform: a key-value service with leases and watches, and a VM list."""

from __future__ import annotations
