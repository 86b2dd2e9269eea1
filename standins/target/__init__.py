"""Target stand-in: a small server with slots, cold start, drain and faults."""

from __future__ import annotations
