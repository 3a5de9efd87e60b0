"""HTTP implementations of the platform's interfaces."""

from chestnutstair.transport.platform_client import PlatformClientSettings
from chestnutstair.transport.platform_control import (
    HttpVmControl,
    HttpVmDirectory,
    HttpWorkerControl,
)
from chestnutstair.transport.platform_storage import (
    HttpObjectStore,
    HttpTable,
)

__all__ = [
    "HttpObjectStore",
    "HttpTable",
    "HttpVmControl",
    "HttpVmDirectory",
    "HttpWorkerControl",
    "PlatformClientSettings",
]
