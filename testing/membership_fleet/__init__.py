"""Simulated fleet: membership objects, a network, a key-value store and targets in virtual time.

The clock of each entry has a different offset, so times of different entries are not comparable.
A frozen entry runs the actions that became due while it was frozen when it resumes.
"""

from __future__ import annotations

from testing.membership_fleet.world import World

__all__ = ["World"]
