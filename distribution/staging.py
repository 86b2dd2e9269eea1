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
# Pure Python packages that are published as source only. All others are installed as wheels, so
# that the build does not depend on a local compiler.
SOURCE_ONLY_PACKAGES = "curio,quantile-python"
# Written by pip; they contain paths and versions of the build host.
INSTALLER_FILES = ("RECORD", "INSTALLER", "REQUESTED", "WHEEL", "direct_url.json")
FILE_MODE = 0o644
DIRECTORY_MODE = 0o755


def stage_packages(directory: Path) -> Path:
    """Install all packages into a new directory under ``directory`` and return its path."""
    build_packages = directory / "build"
    site = directory / "site"
    _install(build_packages, "build.txt")
    _install(site, "runtime.txt", "--no-build-isolation", search_path=build_packages)
    shutil.copytree(PACKAGE, site / PACKAGE.name, ignore=shutil.ignore_patterns("__pycache__"))
    _remove_build_specific_files(site)
    _set_modes(site)
    return site


def _install(
    target: Path, requirements: str, *options: str, search_path: Path | None = None
) -> None:
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--no-deps", "--no-compile"]
    command += ["--only-binary", ":all:", "--no-binary", SOURCE_ONLY_PACKAGES, *options]
    command += ["--target", str(target), "--requirement", str(REQUIREMENTS / requirements)]
    environment = dict(os.environ)
    environment["PYTHONPATH"] = str(search_path) if search_path else ""
    subprocess.run(command, env=environment, check=True)


def _remove_build_specific_files(site: Path) -> None:
    # Console scripts of dependencies start with the path of the Python on the build host.
    shutil.rmtree(site / "bin", ignore_errors=True)
    for metadata in site.glob("*.dist-info"):
        for name in INSTALLER_FILES:
            (metadata / name).unlink(missing_ok=True)


def _set_modes(site: Path) -> None:
    """Set fixed modes: the archive stores modes, and installed files follow the umask."""
    for path in site.rglob("*"):
        path.chmod(DIRECTORY_MODE if path.is_dir() else FILE_MODE)
