"""Memory of a process and of what its sockets hold unread."""

from __future__ import annotations

from collections.abc import Collection
from pathlib import Path

RECEIVE_QUEUE_COLUMN = 4
REMOTE_COLUMN = 2
KB = 1_024


def peak_resident_bytes(pid: int) -> int:
    """Return the highest resident size of a process so far."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    row = next(row for row in status.splitlines() if row.startswith("VmHWM:"))
    return int(row.split()[1]) * KB


def resident_bytes(pid: int) -> int:
    """Return the resident size of a process."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    row = next(row for row in status.splitlines() if row.startswith("VmRSS:"))
    return int(row.split()[1]) * KB


def unread_bytes(remote_ports: Collection[int]) -> int:
    """Return what all connections to ``remote_ports`` have received and not read."""
    total = 0
    for row in Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]:
        columns = row.split()
        if int(columns[REMOTE_COLUMN].split(":")[1], 16) in remote_ports:
            total += int(columns[RECEIVE_QUEUE_COLUMN].split(":")[1], 16)
    return total
