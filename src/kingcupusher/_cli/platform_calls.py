"""Runs calls to the platform for a command and reports their errors."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import curio

from kingcupusher._cli.exit_codes import ExitCode, fail
from kingcupusher._config import ConfigError
from kingcupusher._core.address import Address
from kingcupusher._platform import PlatformError, RequestRejectedError

T = TypeVar("T")


def run_platform_call(call: Callable[..., Awaitable[T]], *arguments: Any, platform: Address) -> T:
    """Run ``call(*arguments)`` and return its result; exit with an error if it fails."""
    try:
        result: T = curio.run(call, *arguments)
    except RequestRejectedError as error:
        fail(
            f"the platform at {platform} rejected the call, nothing was changed: {error}",
            fix="check that --platform names the key-value service and that the files are small",
            code=ExitCode.INVALID,
        )
    except PlatformError as error:
        fail(
            f"the platform at {platform} is not available, nothing was changed: {error}",
            fix="check --platform and try again",
            code=ExitCode.UNAVAILABLE,
        )
    except ConfigError as error:
        fail(
            f"{error}; nothing was changed",
            fix="correct the named field and try again",
            code=ExitCode.INVALID,
        )
    return result
