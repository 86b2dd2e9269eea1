"""Limits: admission, retries, cold start, probes and connections."""

from __future__ import annotations
