"""Reads the platform's list of VMs for those who act on it."""

import logging
from collections.abc import Callable, Sequence

from result import Err, Ok

from chestnutstair.coordination.platform import ListedVm, VmDirectory
from chestnutstair.state.deadline import Deadline
from chestnutstair.state.failure import describe_failure

__all__ = ["DirectoryReader"]

logger = logging.getLogger(__name__)


class DirectoryReader:
    """Passes each list on; while there is none, the last one stands."""

    def __init__(
        self,
        directory: VmDirectory,
        take: Callable[[Sequence[ListedVm]], None],
    ) -> None:
        self._directory = directory
        self._take = take

    def run_once(self, deadline: Deadline) -> None:
        """Read the list once and pass it on."""
        match self._directory.list_vms(deadline):
            case Ok(vms):
                self._take(vms)
            case Err(failure):
                logger.info("no VM list: %s", describe_failure(failure))
