"""Administration HTTP interface."""

from __future__ import annotations
