"""Calls for VMs, which the platform calls machines."""

import logging
from http import HTTPStatus
from typing import Any
from urllib.parse import urlencode

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.scheduling.metrics import MALFORMED_ENTRIES
from chestnutstair.scheduling.ports import (
    StartRefusedFailure,
    Vm,
    VmControl,
    WorkerCallFailure,
)
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.fields import (
    MalformedFieldError,
    is_text,
    read_amount,
    read_list,
    read_object,
    read_text,
    read_texts,
)
from chestnutstair.transport.json_calls import call_json
from chestnutstair.transport.platform_client import PlatformClient

__all__ = ["PlatformVmControl"]

logger = logging.getLogger(__name__)

# Far more than the largest fleet has; the list must end.
MAX_PAGES = 1000
CALL_SECONDS = 1.5  # moving a VM may be slow
HOLDER_HEADER = "X-Chestnutstair-Lease-Holder"
FENCE_HEADER = "X-Chestnutstair-Fencing-Token"
STATES = {"upkeep": "maintenance"}  # the others have the same names here


def _read_vm(item: Any) -> Vm:
    if type(item) is not dict:
        raise MalformedFieldError("not an object")
    capacity = read_object(item, "capacity") if item.get("capacity") else {}
    state = read_text(item, "state", "")
    return Vm(
        name=read_text(item, "machine"),
        service=read_text(item, "pool", ""),
        state=STATES.get(state, state),
        zone=read_text(item, "zone", ""),
        # Empty while no worker runs on the VM.
        worker=read_text(item, "id") if item.get("id") else "",
        labels=read_texts(item, "labels") if item.get("labels") else (),
        millicores=read_amount(capacity, "cpu", 0),
    )


def _read_known_fields(item: Any) -> Vm | None:
    """Return a malformed VM with its name and labels, in no known state.

    It is not ordered, but a wave is not complete without it. None if it has
    no usable name.
    """
    try:
        name = read_text(item, "machine")
    except (AttributeError, MalformedFieldError):
        return None
    try:
        labels = read_texts(item, "labels")
    except MalformedFieldError:
        labels = ()
    return Vm(name, "", "", "", "", labels)


class PlatformVmControl(VmControl):
    """Client of the platform's machine service."""

    def __init__(self, client: PlatformClient, clock: Clock) -> None:
        self._client = client
        self._clock = clock
        # Why a VM of the last list was malformed, by name.
        self._problems: dict[str, str] = {}

    def list_vms(self) -> Result[list[Vm], WorkerCallFailure]:
        """Return all VMs, read page by page.

        A malformed entry does not hide the other VMs.
        """
        vms: list[Vm] = []
        problems: dict[str, str] = {}
        token = ""
        for _ in range(MAX_PAGES):
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
                    try:
                        items = read_list(body, "machines")
                        token = (
                            read_text(body, "nextToken")
                            if body.get("nextToken")
                            else ""
                        )
                    except MalformedFieldError as error:
                        return Err(UnavailableFailure(str(error)))
                    vms += self._read_page(items, problems)
                case Ok((status, _)):
                    return Err(UnavailableFailure(f"status {status}"))
                case Err(failure):
                    return Err(UnavailableFailure(str(failure)))
            if not token:
                self._log_problems(problems)
                return Ok(vms)
        return Err(UnavailableFailure(f"more than {MAX_PAGES} pages"))

    @staticmethod
    def _read_page(items: list[Any], problems: dict[str, str]) -> list[Vm]:
        """Return the VMs of a page; add what is wrong with others."""
        vms = []
        for item in items:
            try:
                vms.append(_read_vm(item))
            except MalformedFieldError as error:
                vm = _read_known_fields(item)
                problems[vm.name if vm is not None else ""] = str(error)
                if vm is not None:
                    vms.append(vm)
        return vms

    def _log_problems(self, problems: dict[str, str]) -> None:
        """Count malformed entries; log those that the last list had not."""
        MALFORMED_ENTRIES.labels("VM").inc(len(problems))
        for vm, problem in problems.items():
            if self._problems.get(vm) != problem:
                logger.warning(
                    "listed VM is malformed",
                    extra={"vm": vm, "reason": problem},
                )
        self._problems = problems

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
                reason = read.get("reason")
                text = str(reason) if is_text(reason) else f"status {status}"
                return Err(StartRefusedFailure(text))
            case Err(UnavailableFailure() as failure):
                return Err(failure)
            case Err(failure):
                return Err(UnknownOutcomeFailure(str(failure)))
        raise AssertionError(answer)
