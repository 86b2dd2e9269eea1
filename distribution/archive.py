"""Writes the executable zipapp from a directory of packages."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ENTRY_POINT = "kingcupusher._cli.main:main"
# -I and -S ignore the environment variables and packages of the VM's Python. The compiled packages
# need this minor version. env calls exec, so the process id stays the same.
INTERPRETER = "/usr/bin/env -S python3.11 -I -S"
# /run is a memory file system on Linux VMs; the environment variable SHIV_ROOT overrides it.
DEFAULT_UNPACK_DIRECTORY = "/run/kingcupusher"


def write_archive(site: Path, *, output: Path) -> None:
    """Write ``output``; the build is reproducible, equal contents give equal bytes.

    ``--compile-pyc`` is not used: it compiles in child processes at the first start of the file.
    """
    command = [sys.executable, "-m", "shiv", "--reproducible", "--compressed"]
    command += ["--python", INTERPRETER, "--root", DEFAULT_UNPACK_DIRECTORY]
    command += ["--entry-point", ENTRY_POINT, "--site-packages", str(site)]
    command += ["--output-file", str(output)]
    subprocess.run(command, check=True)
