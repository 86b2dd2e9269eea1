"""CPU time and memory of a process."""

from __future__ import annotations

import os
from pathlib import Path

US_PER_S = 1_000_000
# Indices of fields of /proc/PID/stat after the command name, which may contain spaces.
USER_TICKS = 11
SYSTEM_TICKS = 12
# Index of a field of /proc/PID/statm.
RESIDENT_PAGES = 1


def cpu_us(pid: int) -> float:
    """Return the user and system CPU time that a process has used, in microseconds."""
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])
    return ticks * US_PER_S / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    pages = Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[RESIDENT_PAGES]
    return int(pages) * os.sysconf("SC_PAGE_SIZE")
