"""Target stand-in: an HTTP server that simulates slots, cold start, drain and faults."""

from __future__ import annotations
