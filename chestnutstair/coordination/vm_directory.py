"""Caches the platform's list of VMs, and passes it to a consumer."""

import logging
import threading
from collections.abc import Callable, Sequence

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    ListedVm,
    PlatformFailure,
    VmDirectory,
)
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.failure import describe_failure

__all__ = ["CachedVmDirectory", "VmListReader"]

logger = logging.getLogger(__name__)


class CachedVmDirectory(VmDirectory):
    """Caches the list of VMs for up to `age_seconds`.

    The platform's list lags in any case; caching adds up to `age_seconds`.
    A failure to read the list is returned, never replaced by an old list.
    """

    def __init__(
        self, directory: VmDirectory, clock: Clock, age_seconds: float
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._age_seconds = age_seconds
        self._lock = threading.Lock()
        self._listed: tuple[ListedVm, ...] = ()
        self._fresh_until = Deadline(0.0)

    def list_vms(
        self, deadline: Deadline
    ) -> Result[tuple[ListedVm, ...], PlatformFailure]:
        """Return every VM that the platform knows, possibly from the cache."""
        with self._lock:
            if not self._fresh_until.has_passed(self._clock):
                return Ok(self._listed)
            fresh_until = Deadline.after(self._clock, self._age_seconds)
            answer = self._directory.list_vms(deadline)
            if isinstance(answer, Ok):
                self._listed = answer.ok_value
                self._fresh_until = fresh_until
            return answer


class VmListReader:
    """Reads the list of VMs and calls `on_list` with it.

    Nothing is called when reading fails, so the consumer keeps acting on
    the last list.
    """

    def __init__(
        self,
        directory: VmDirectory,
        on_list: Callable[[Sequence[ListedVm]], None],
    ) -> None:
        self._directory = directory
        self._on_list = on_list

    def run_once(self, deadline: Deadline) -> None:
        """Read the list once and pass it to `on_list`."""
        match self._directory.list_vms(deadline):
            case Ok(vms):
                self._on_list(vms)
            case Err(failure):
                logger.info(
                    "cannot read the list of VMs: %s",
                    describe_failure(failure),
                )
