"""Writes the executable file from a directory of packages."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ENTRY_POINT = "kingcupusher._cli.main:main"
# -I and -S keep packages and settings of the VM's own Python out. The compiled packages fit one
# minor version of Python only. env replaces itself, so the process id stays the same.
INTERPRETER = "/usr/bin/env -S python3.11 -I -S"
# Memory-backed on Linux VMs; SHIV_ROOT overrides it.
UNPACK_DIRECTORY = "/run/kingcupusher"


def write_archive(site: Path, *, output: Path) -> None:
    """Write ``output``; equal contents give equal bytes.

    ``--compile-pyc`` is left out: it would compile in child processes when the file first starts.
    """
    command = [sys.executable, "-m", "shiv", "--reproducible", "--compressed"]
    command += ["--python", INTERPRETER, "--root", UNPACK_DIRECTORY]
    command += ["--entry-point", ENTRY_POINT, "--site-packages", str(site)]
    command += ["--output-file", str(output)]
    subprocess.run(command, check=True)
