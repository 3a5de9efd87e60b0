"""Calls for VMs, which the platform calls machines."""

from http import HTTPStatus
from typing import Any
from urllib.parse import urlencode

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.scheduling.ports import (
    StartRefusedFailure,
    Vm,
    VmControl,
    WorkerCallFailure,
)
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.transport.json_calls import call_json
from chestnutstair.transport.platform_client import PlatformClient

__all__ = ["PlatformVmControl"]

CALL_SECONDS = 1.5  # moving a VM may be slow
HOLDER_HEADER = "X-Chestnutstair-Lease-Holder"
FENCE_HEADER = "X-Chestnutstair-Fencing-Token"
STATES = {"upkeep": "maintenance"}  # the others have the same names here


def _read_vm(item: dict[str, Any]) -> Vm:
    capacity = item.get("capacity") or {}
    return Vm(
        name=item["machine"],
        service=item.get("pool", ""),
        state=STATES.get(item.get("state", ""), item.get("state", "")),
        zone=item.get("zone", ""),
        worker=item.get("id") or "",  # empty while no worker runs on the VM
        labels=tuple(item.get("labels") or ()),
        millicores=int(capacity.get("cpu", 0)),
    )


class PlatformVmControl(VmControl):
    """Client of the platform's machine service."""

    def __init__(self, client: PlatformClient, clock: Clock) -> None:
        self._client = client
        self._clock = clock

    def list_vms(self) -> Result[list[Vm], WorkerCallFailure]:
        """Return all VMs, read page by page."""
        vms: list[Vm] = []
        token = ""
        while True:
            query = f"?{urlencode({'pageToken': token})}" if token else ""
            answer = call_json(
                self._client,
                "GET",
                f"/api/machines{query}",
                None,
                Deadline.after(self._clock, CALL_SECONDS),
            )
            match answer:
                case Ok((HTTPStatus.OK, body)):
                    vms += [_read_vm(item) for item in body["machines"]]
                    token = body.get("nextToken") or ""
                case Ok((status, _)):
                    return Err(UnavailableFailure(f"status {status}"))
                case Err(failure):
                    return Err(UnavailableFailure(str(failure)))
            if not token:
                return Ok(vms)

    def move(
        self, vm: str, service: str, holder: str, fence: int
    ) -> Result[None, WorkerCallFailure]:
        """End everything that runs on the VM and move it to a pool.

        `holder` is the leader's name, `fence` the fencing token.
        """
        body = {"machine": vm, "pool": service}
        return self._order("/api/machine-move", body, holder, fence)

    def maintain(
        self, vm: str, wave: int, holder: str, fence: int
    ) -> Result[None, WorkerCallFailure]:
        """End everything that runs on the VM and begin its maintenance.

        `holder` is the leader's name, `fence` the fencing token.
        """
        body = {"machine": vm, "wave": wave}
        return self._order("/api/machine-upkeep", body, holder, fence)

    def _order(
        self, path: str, body: dict[str, Any], holder: str, fence: int
    ) -> Result[None, WorkerCallFailure]:
        answer = call_json(
            self._client,
            "POST",
            path,
            body,
            Deadline.after(self._clock, CALL_SECONDS),
            {HOLDER_HEADER: holder, FENCE_HEADER: str(fence)},
        )
        match answer:
            case Ok((HTTPStatus.OK, _)):
                return Ok(None)
            case Ok((status, read)):
                reason = str(read.get("reason", f"status {status}"))
                return Err(StartRefusedFailure(reason))
            case Err(UnavailableFailure() as failure):
                return Err(failure)
            case Err(failure):
                return Err(UnknownOutcomeFailure(str(failure)))
        raise AssertionError(answer)
