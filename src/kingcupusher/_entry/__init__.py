"""Composition of the entry process."""

from __future__ import annotations
