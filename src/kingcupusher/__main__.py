"""Entry point of ``python -m kingcupusher``."""

from __future__ import annotations

from kingcupusher._cli.main import main

if __name__ == "__main__":
    main()
