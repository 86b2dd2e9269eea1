"""Request path of an entry."""

from __future__ import annotations
