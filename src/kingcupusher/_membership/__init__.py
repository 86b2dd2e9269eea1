"""Target states, zone orders and the rules that allow a send."""

from __future__ import annotations
