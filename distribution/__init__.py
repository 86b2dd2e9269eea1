"""Builds the distribution file: an executable zipapp with the run-time packages."""

from __future__ import annotations
