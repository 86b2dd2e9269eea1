"""Builds the distribution file: one executable zipapp with the run-time packages."""

from __future__ import annotations
