"""The command ``publish``."""

from __future__ import annotations

from kingcupusher._cli.check import load_or_fail
from kingcupusher._cli.options import FilesArgument, JsonOption, PlatformOption
from kingcupusher._cli.platform_calls import run_call
from kingcupusher._cli.results import finish
from kingcupusher._config import Publisher
from kingcupusher._platform import KeyValueClient


def publish(files: FilesArgument, platform: PlatformOption, as_json: JsonOption = False) -> None:
    """Publish service files: all of them become one new version, or none.

    A file may only replace a service of the same team.

    Example: kingcupusher publish --platform 10.0.0.5:2379 examples/lagos/*.toml
    """
    services = load_or_fail(files, as_json=as_json)
    publisher = Publisher(KeyValueClient(platform))
    result = run_call(publisher.publish, services, platform=platform)
    finish(result, as_json=as_json)
