"""Simulated fleet: membership objects, a network, a key-value store and targets in virtual time.

Each entry reads a clock with an offset of its own, so that no instant may be compared between
entries. A frozen entry runs what became due while it was frozen when it resumes.
"""

from __future__ import annotations

from testing.membership_fleet.world import World

__all__ = ["World"]
