"""Command ``python -m distribution OUTPUT``."""

from __future__ import annotations

import sys
from pathlib import Path
from tempfile import TemporaryDirectory

from distribution.archive import write_archive
from distribution.staging import stage_packages


def main() -> None:
    """Build the distribution file at the path given as first argument."""
    output = Path(sys.argv[1])
    output.parent.mkdir(parents=True, exist_ok=True)
    with TemporaryDirectory(prefix="kingcupusher-dist-") as directory:
        write_archive(stage_packages(Path(directory)), output=output)


if __name__ == "__main__":
    main()
