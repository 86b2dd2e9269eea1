"""The command ``zone in``."""

from __future__ import annotations

from kingcupusher._cli.options import JsonOption, PlatformOption, ZoneArgument
from kingcupusher._cli.platform_calls import run_platform_call
from kingcupusher._cli.results import report_result
from kingcupusher._config import Publisher, PublishResult
from kingcupusher._platform import KeyValueClient


def zone_in(zone: ZoneArgument, platform: PlatformOption, as_json: JsonOption = False) -> None:
    """Bring a zone back: its targets start closed and are ramped up one by one.

    Example: kingcupusher zone in lagos-b --platform 10.0.0.5:2379
    """
    publisher = Publisher(KeyValueClient(platform))
    report_result(
        run_platform_call(_bring_zone_back, publisher, zone, platform=platform), as_json=as_json
    )


async def _bring_zone_back(publisher: Publisher, zone: str) -> PublishResult:
    return await publisher.set_zone_state(zone, out=False)
