"""Runs a hypothesis property inside a behave step.

Examples are derived from the property itself, so that every run uses the same ones;
``--define seed=N`` uses others.
"""

from __future__ import annotations

from hypothesis import given, seed, settings


def check_property(context, prop, /, *, examples=200, **strategies):
    """Run ``prop`` with values drawn from ``strategies``; raise its first failure."""
    seed_option = context.config.userdata.get("seed")
    test = given(**strategies)(prop)
    options = settings(
        max_examples=examples, derandomize=seed_option is None, database=None, deadline=None
    )
    test = options(test)
    if seed_option is not None:
        test = seed(int(seed_option))(test)
    test()
