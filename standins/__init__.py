"""Test doubles, run as processes, for the platform, the targets and the callers."""
