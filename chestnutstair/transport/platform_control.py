"""HTTP clients for the platform's VMs and workers."""

from collections.abc import Sequence
from typing import Any
from urllib.parse import quote

from result import Result

from chestnutstair.coordination.platform import (
    ListedVm,
    PlatformFailure,
    TaskReport,
    VmControl,
    VmDirectory,
    WorkerControl,
)
from chestnutstair.protocol.platform import (
    RenewCall,
    StartCall,
    StopCall,
    ThrottleCall,
    VmCall,
)
from chestnutstair.state.deadline import Deadline
from chestnutstair.transport.platform_client import (
    PlatformClient,
    map_conflict_to_refusal,
)

__all__ = ["HttpVmControl", "HttpVmDirectory", "HttpWorkerControl"]


class HttpVmDirectory(PlatformClient, VmDirectory):
    """HTTP client of the platform's list of VMs."""

    def list_vms(
        self, deadline: Deadline
    ) -> Result[tuple[ListedVm, ...], PlatformFailure]:
        """Return every VM that the platform knows."""
        answer_type = tuple[ListedVm, ...]
        return self.query(answer_type, "GET", "/vms", deadline, None)


class HttpVmControl(PlatformClient, VmControl):
    """HTTP client for operations on single VMs."""

    def announce_drain(
        self, vm: str, operation: str, token: int, deadline: Deadline
    ) -> Result[None, PlatformFailure]:
        """Announce to the VM that it is being drained."""
        return self._post_operation(
            vm, "announce_drain", operation, token, deadline
        )

    def cancel_drain(
        self, vm: str, operation: str, token: int, deadline: Deadline
    ) -> Result[None, PlatformFailure]:
        """Announce to the VM that its drain was cancelled."""
        return self._post_operation(
            vm, "cancel_drain", operation, token, deadline
        )

    def count_running(
        self, vm: str, deadline: Deadline
    ) -> Result[int, PlatformFailure]:
        """Return the number of requests and tasks running on the VM."""
        path = f"/vms/{quote(vm, safe='')}/running"
        return self.query(int, "GET", path, deadline, None)

    def reboot(
        self, vm: str, operation: str, token: int, deadline: Deadline
    ) -> Result[None, PlatformFailure]:
        """Reboot the VM once per operation; lower tokens are refused."""
        return self._post_operation(vm, "reboot", operation, token, deadline)

    def _post_operation(
        self,
        vm: str,
        verb: str,
        operation: str,
        token: int,
        deadline: Deadline,
    ) -> Result[None, PlatformFailure]:
        path = f"/vms/{quote(vm, safe='')}/{verb}"
        call = VmCall(operation, token)
        return map_conflict_to_refusal(self.command(path, call, deadline))


class HttpWorkerControl(PlatformClient, WorkerControl):
    """HTTP client for tasks on workers."""

    def start_task(
        self,
        worker: str,
        task: str,
        token: int,
        lease_seconds: float,
        payload: str,
        deadline: Deadline,
    ) -> Result[None, PlatformFailure]:
        """Start the task once per token; lower tokens are refused."""
        call = StartCall(task, token, lease_seconds, payload)
        return self._post_operation(worker, "/start", call, deadline)

    def renew_tasks(
        self,
        worker: str,
        tokens: Sequence[tuple[str, int]],
        lease_seconds: float,
        deadline: Deadline,
    ) -> Result[None, PlatformFailure]:
        """Extend the leases of the tasks that still have these tokens."""
        call = RenewCall(tuple(tokens), lease_seconds)
        return self._post_operation(worker, "/renew", call, deadline)

    def stop_task(
        self,
        worker: str,
        task: str,
        token: int,
        checkpoint: bool,
        deadline: Deadline,
    ) -> Result[None, PlatformFailure]:
        """End the task, saving a checkpoint for its next start if asked."""
        call = StopCall(task, token, checkpoint)
        return self._post_operation(worker, "/stop", call, deadline)

    def throttle_task(
        self,
        worker: str,
        task: str,
        token: int,
        share: float,
        deadline: Deadline,
    ) -> Result[None, PlatformFailure]:
        """Limit the task to a share (0 to 1) of its processor time."""
        call = ThrottleCall(task, token, share)
        return self._post_operation(worker, "/throttle", call, deadline)

    def report_tasks(
        self, worker: str, deadline: Deadline
    ) -> Result[tuple[TaskReport, ...], PlatformFailure]:
        """Return the running and recently ended tasks of the worker."""
        path = _build_tasks_path(worker)
        answer_type = tuple[TaskReport, ...]
        return self.query(answer_type, "GET", path, deadline, None)

    def _post_operation(
        self, worker: str, suffix: str, call: Any, deadline: Deadline
    ) -> Result[None, PlatformFailure]:
        path = _build_tasks_path(worker) + suffix
        return map_conflict_to_refusal(self.command(path, call, deadline))


def _build_tasks_path(worker: str) -> str:
    return f"/workers/{quote(worker, safe='')}/tasks"
