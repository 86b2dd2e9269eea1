"""The task that polls the VM list."""

from __future__ import annotations

from collections.abc import Callable

import curio
import logbook

from kingcupusher._platform import VmListClient, VmRecord
from kingcupusher._platform.errors import PlatformError

READ_INTERVAL_S = 2.0

VmListener = Callable[[list[VmRecord]], None]

log = logbook.Logger("vm-list")


async def poll_vm_list(client: VmListClient, listener: VmListener) -> None:
    """Poll the VM list until cancelled; after a failed read the last result stays in use."""
    is_failing = False
    while True:
        try:
            listener(await client.read())
            is_failing = False
        except PlatformError as error:
            if not is_failing:
                log.warning("VM list not read; the last result stays in use", error=str(error))
            is_failing = True
        await curio.sleep(READ_INTERVAL_S)
