"""The users' platform: its names, formats and calls, and no decisions."""

from chestnutstair.platform.decoding import (
    PlatformDecoder,
    PlatformSubmissions,
)
from chestnutstair.platform.front import (
    build_front_application,
    build_ready_application,
)
from chestnutstair.platform.machines import PlatformVmControl
from chestnutstair.platform.runners import (
    PlatformWorkerControl,
    RunnerSettings,
)
from chestnutstair.platform.store import PlatformRowStore

__all__ = [
    "PlatformDecoder",
    "PlatformRowStore",
    "PlatformSubmissions",
    "PlatformVmControl",
    "PlatformWorkerControl",
    "RunnerSettings",
    "build_front_application",
    "build_ready_application",
]
