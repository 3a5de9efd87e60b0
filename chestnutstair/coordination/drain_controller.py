"""The control loop for planned drains in each pool."""

import logging
import uuid
from collections.abc import Mapping

from prometheus_client import Counter, Gauge
from result import Err, Ok

from chestnutstair.coordination.changelog import ChangeLog
from chestnutstair.coordination.drain import DrainExecutor, DrainSettings
from chestnutstair.coordination.duty import Duty, DutyHolder
from chestnutstair.coordination.maintenance import (
    LoadForecast,
    MaintenanceSettings,
    PlannedDrain,
    plan_drains,
)
from chestnutstair.coordination.messenger import Membership
from chestnutstair.coordination.operation import Listing, append_change
from chestnutstair.coordination.platform import VmControl, VmDirectory
from chestnutstair.coordination.pool_availability import PoolState, group_pools
from chestnutstair.state.change import DrainChange
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.failure import describe_failure
from chestnutstair.state.view import FleetView, VmPhase, VmStatus

__all__ = ["DrainController", "build_maintenance_duty_name"]

logger = logging.getLogger(__name__)

DUTY_PREFIX = "maintenance/"
OPERATING_PHASES = (
    VmPhase.DRAINING,
    VmPhase.REBOOTING,
    VmPhase.PROVING,
    VmPhase.RETURNING,
    VmPhase.ARRIVING,
)

DRAINS = Counter(
    "chestnutstair_drains_started",
    "Planned drains that this daemon started",
    ["pool"],
)
UNDONE_DRAINS = Counter(
    "chestnutstair_drains_undone",
    "Planned drains that this daemon undid before their reboot or move",
    ["pool"],
)
OVERDUE_VMS = Gauge(
    "chestnutstair_maintenance_overdue_vms",
    "VMs past the end of their maintenance period",
    ["pool"],
)
RESERVE_HELD = Gauge(
    "chestnutstair_maintenance_reserve_held",
    "1 if the budget would hold if a rack failed during a drain",
    ["pool"],
)


def build_maintenance_duty_name(pool: str) -> str:
    """Return the name of the duty to maintain the pool."""
    return DUTY_PREFIX + pool


def _forecast_no_load(pool: str) -> float:
    return 0.0


class DrainController:
    """Starts, advances and undoes the planned drains of each pool.

    It handles the pools whose duty this daemon holds. All durable state
    is in the view; the state in memory only avoids repeated work.
    """

    def __init__(
        self,
        log: ChangeLog,
        duties: DutyHolder,
        directory: VmDirectory,
        control: VmControl,
        membership: Membership,
        clock: Clock,
        forecast: LoadForecast = _forecast_no_load,
        planning: MaintenanceSettings | None = None,
        drains: DrainSettings | None = None,
    ) -> None:
        self._log = log
        self._duties = duties
        self._directory = directory
        self._clock = clock
        self._forecast = forecast
        self._planning = planning or MaintenanceSettings()
        self._drains = drains or DrainSettings()
        self._executor = DrainExecutor(
            log, control, membership, clock, self._drains
        )
        self._grouped_view: FleetView | None = None
        self._states: Mapping[str, PoolState] = {}
        self._last_plans: dict[str, tuple[PoolState | None, Deadline]] = {}

    def run_once(self, deadline: Deadline) -> None:
        """Run one round of each pool whose duty this daemon holds."""
        pool_duties = {
            pool: duty
            for pool in sorted(self._log.view.pools)
            if (
                duty := self._duties.find_duty(
                    build_maintenance_duty_name(pool)
                )
            )
        }
        if not pool_duties:
            return
        listing = self._read_listing(deadline)
        for pool, duty in pool_duties.items():
            if state := self._read_states().get(pool):
                self._reconcile_pool(state, duty, listing, deadline)

    def _read_listing(self, deadline: Deadline) -> Listing | None:
        match self._directory.list_vms(deadline):
            case Ok(vms):
                return {vm.name: vm for vm in vms}
            case Err(failure):
                logger.warning(
                    "cannot read the list of VMs: %s",
                    describe_failure(failure),
                )
        return None

    def _read_states(self) -> Mapping[str, PoolState]:
        view = self._log.view
        if view is not self._grouped_view:
            self._grouped_view = view
            self._states = group_pools(view)
        return self._states

    def _reconcile_pool(
        self,
        state: PoolState,
        duty: Duty,
        listing: Listing | None,
        deadline: Deadline,
    ) -> None:
        """Undo, advance and start drains of the pool.

        Without a VM list, drains are only undone.
        """
        undone = self._choose_drains_to_undo(state)
        for vm in undone:
            self._undo(vm, state.statuses[vm], duty, deadline)
        if listing is None:
            return
        for vm in state.list_in_phases(*OPERATING_PHASES):
            if vm in undone:
                continue
            self._executor.advance(
                vm, state.statuses[vm], listing.get(vm), duty, deadline
            )
        if not undone and self._should_plan(state):
            self._start_drains(state, duty, deadline)

    def _should_plan(self, state: PoolState) -> bool:
        """Return whether the pool is to be planned in this round.

        It is when its state has changed or its last plan is older than
        `plan_seconds`, unless maintenance is paused.
        """
        if self._log.view.paused:
            return False
        pool = state.pool.name
        planned, until = self._last_plans.get(pool, (None, Deadline(0.0)))
        if planned is state and not until.has_passed(self._clock):
            return False
        seconds = self._planning.plan_seconds
        self._last_plans[pool] = (state, Deadline.after(self._clock, seconds))
        return True

    def _choose_drains_to_undo(self, state: PoolState) -> list[str]:
        """Return the VMs whose drains are to be undone.

        These are all draining VMs while paused. Otherwise they are the
        ones beyond the availability budget, newest drain first as it has
        made the least progress, and those whose move is no longer
        declared.
        """
        draining = sorted(
            state.list_in_phases(VmPhase.DRAINING),
            key=lambda vm: -state.statuses[vm].phase_revision,
        )
        view = self._log.view
        if view.paused:
            return draining
        # VMs whose drain is already undone will soon serve again.
        returning = len(state.list_in_phases(VmPhase.RETURNING))
        unavailable = state.count_unavailable() - returning
        excess = max(0, unavailable - state.pool.availability_budget)
        misdirected = [
            vm
            for vm in draining[excess:]
            if state.statuses[vm].destination
            and state.statuses[vm].destination != view.vms[vm].pool
        ]
        return draining[:excess] + misdirected

    def _undo(
        self, vm: str, status: VmStatus, duty: Duty, deadline: Deadline
    ) -> None:
        UNDONE_DRAINS.labels(duty.name.removeprefix(DUTY_PREFIX)).inc()
        self._executor.undo(vm, status.operation, duty, deadline)

    def _start_drains(
        self, state: PoolState, duty: Duty, deadline: Deadline
    ) -> None:
        pool = state.pool.name
        plan = plan_drains(
            state,
            self._clock.read_wall(),
            self._forecast(pool),
            self._planning,
            self._executor.list_deferred(),
        )
        OVERDUE_VMS.labels(pool).set(len(plan.overdue))
        RESERVE_HELD.labels(pool).set(plan.reserve_held)
        for planned in plan.drains:
            if append_change(
                self._log, self._build_drain(planned), duty, deadline
            ).is_err():
                return
            DRAINS.labels(pool).inc()

    def _build_drain(self, planned: PlannedDrain) -> DrainChange:
        now = self._clock.read_wall()
        return DrainChange(
            planned.vm,
            uuid.uuid4().hex,
            now + self._drains.drain_seconds,
            planned.destination,
            now + self._drains.confirm_seconds,
        )
