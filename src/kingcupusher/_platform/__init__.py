"""Client of the platform: key-value service and VM list."""

from __future__ import annotations
