"""Load generator: sends requests in an open loop and verifies their responses."""

from __future__ import annotations
