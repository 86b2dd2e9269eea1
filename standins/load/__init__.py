"""Load tool: open-loop requests whose responses are checked."""

from __future__ import annotations
