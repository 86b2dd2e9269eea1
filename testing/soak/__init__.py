"""Randomized soak: entries, targets and a store as real processes, with faults from outside."""
