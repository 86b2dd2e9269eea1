"""Runs a hypothesis property inside a behave step.

Examples are derived from the property itself, so that every run tries the same ones;
``--define seed=N`` tries others.
"""

from __future__ import annotations

from hypothesis import given, seed, settings


def check_property(context, prop, /, *, examples=200, **strategies):
    """Run ``prop`` with values drawn from ``strategies``."""
    chosen = context.config.userdata.get("seed")
    test = given(**strategies)(prop)
    options = settings(
        max_examples=examples, derandomize=chosen is None, database=None, deadline=None
    )
    test = options(test)
    if chosen is not None:
        test = seed(int(chosen))(test)
    test()
