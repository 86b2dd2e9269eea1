"""Choice of a target for a request."""

from __future__ import annotations
