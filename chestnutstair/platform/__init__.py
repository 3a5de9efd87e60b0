"""Adapter to the users' platform: names, formats and calls; no decisions."""

from chestnutstair.platform.contracts import calls_for_turns
from chestnutstair.platform.decoding import (
    PlatformDecoder,
    PlatformSubmissions,
)
from chestnutstair.platform.limits import DESCRIPTORS_NAME, MEMORY_NAME
from chestnutstair.platform.machines import PlatformVmControl
from chestnutstair.platform.requesters import (
    MAX_BODY_BYTES,
    build_ready_application,
    build_requester_application,
)
from chestnutstair.platform.runners import (
    PlatformWorkerControl,
    RunnerSettings,
)
from chestnutstair.platform.store import PlatformRowStore

__all__ = [
    "DESCRIPTORS_NAME",
    "MAX_BODY_BYTES",
    "MEMORY_NAME",
    "PlatformDecoder",
    "PlatformRowStore",
    "PlatformSubmissions",
    "PlatformVmControl",
    "PlatformWorkerControl",
    "RunnerSettings",
    "build_ready_application",
    "build_requester_application",
    "calls_for_turns",
]
