"""The command ``publish``."""

from __future__ import annotations

from kingcupusher._cli.check import load_or_fail
from kingcupusher._cli.options import FilesArgument, JsonOption, PlatformOption
from kingcupusher._cli.platform_calls import run_platform_call
from kingcupusher._cli.results import report_result
from kingcupusher._config import MergeError, Publisher, PublishResult, ServiceFile, ServiceFileError
from kingcupusher._core.address import Address
from kingcupusher._platform import KeyValueClient


def publish(files: FilesArgument, platform: PlatformOption, as_json: JsonOption = False) -> None:
    """Publish service files: all of them become one new version, or none.

    A file may only replace a service of the same team.

    Example: kingcupusher publish --platform 10.0.0.5:2379 examples/lagos/*.toml
    """
    loaded = load_or_fail(files, as_json=as_json)
    report_result(run_platform_call(_publish, loaded, platform, platform=platform), as_json=as_json)


async def _publish(files: list[ServiceFile], platform: Address) -> PublishResult:
    publisher = Publisher(KeyValueClient(platform))
    try:
        return await publisher.publish(file.service for file in files)
    except MergeError as error:
        path = next(file.path for file in files if file.service.name == error.service)
        raise ServiceFileError(str(path), error.problem) from None
