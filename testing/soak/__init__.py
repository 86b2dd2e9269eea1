"""Soak test: entries, targets and a store as processes, with randomly injected faults."""
