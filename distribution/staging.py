"""Collects the package and its run-time dependencies in one directory."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
REQUIREMENTS = ROOT / "requirements"
PACKAGE = ROOT / "src" / "kingcupusher"
# These are published as source only and are pure Python. All others are installed as wheels, so
# that no compiler of the building machine has an influence.
SOURCE_ONLY = "curio,quantile-python"
# Written by the installer; they hold paths and versions of the building machine.
INSTALLER_FILES = ("RECORD", "INSTALLER", "REQUESTED", "WHEEL", "direct_url.json")
FILE_MODE = 0o644
DIRECTORY_MODE = 0o755


def stage(directory: Path) -> Path:
    """Fill a new directory under ``directory`` and return it."""
    backend = directory / "build"
    site = directory / "site"
    _install(backend, "build.txt")
    _install(site, "runtime.txt", "--no-build-isolation", path=backend)
    shutil.copytree(PACKAGE, site / PACKAGE.name, ignore=shutil.ignore_patterns("__pycache__"))
    _remove_machine_files(site)
    _set_modes(site)
    return site


def _install(target: Path, requirements: str, *options: str, path: Path | None = None) -> None:
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--no-deps", "--no-compile"]
    command += ["--only-binary", ":all:", "--no-binary", SOURCE_ONLY, *options]
    command += ["--target", str(target), "--requirement", str(REQUIREMENTS / requirements)]
    environment = dict(os.environ)
    environment["PYTHONPATH"] = str(path) if path else ""
    subprocess.run(command, env=environment, check=True)


def _remove_machine_files(site: Path) -> None:
    # Console scripts of dependencies start with the path of the building interpreter.
    shutil.rmtree(site / "bin", ignore_errors=True)
    for metadata in site.glob("*.dist-info"):
        for name in INSTALLER_FILES:
            (metadata / name).unlink(missing_ok=True)


def _set_modes(site: Path) -> None:
    """Give every file the same mode, since the archive stores modes and they follow the umask."""
    for path in site.rglob("*"):
        path.chmod(DIRECTORY_MODE if path.is_dir() else FILE_MODE)
