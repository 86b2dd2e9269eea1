"""Settings of hypothesis properties: the same examples in every run, and no deadline."""

from __future__ import annotations

from hypothesis import settings

PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=200)
LONG_PROPERTY = settings(PROPERTY, max_examples=12)
