"""The composition root: builds, starts and stops the parts of a daemon."""

import logging
import uuid
from collections.abc import Callable

from chestnutstair.coordination.changelog import ChangeLog
from chestnutstair.coordination.claims import ClaimStore
from chestnutstair.coordination.compaction import COMPACTION_DUTY, Compactor
from chestnutstair.coordination.drain_controller import (
    DrainController,
    build_maintenance_duty_name,
)
from chestnutstair.coordination.duties import LeasedDuties
from chestnutstair.coordination.forecast import (
    LoadForecaster,
    LoadSampler,
)
from chestnutstair.coordination.forwarder import Forwarder
from chestnutstair.coordination.gossip import FactsMessage, HeartbeatMessage
from chestnutstair.coordination.leaving import LeavingMessage
from chestnutstair.coordination.loop import Loop
from chestnutstair.coordination.membership import MemberList
from chestnutstair.coordination.messenger import Member
from chestnutstair.coordination.outage import OutageDetector
from chestnutstair.coordination.pressure import PressureMessage
from chestnutstair.coordination.replication import (
    PullMessage,
    RecordsMessage,
    Replicator,
    ViewMessage,
)
from chestnutstair.coordination.sweeper import SWEEP_DUTY, ClaimSweeper
from chestnutstair.coordination.task_controller import (
    TaskController,
    list_duty_names,
)
from chestnutstair.coordination.tickets import TicketService
from chestnutstair.coordination.vm_directory import (
    CachedVmDirectory,
    VmListReader,
)
from chestnutstair.protocol.service import OperatorService
from chestnutstair.settings import DaemonSettings
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.view import FleetView
from chestnutstair.transport.callers import (
    build_callers_application,
    build_callers_server,
)
from chestnutstair.transport.operators import build_operator_application
from chestnutstair.transport.peers import PeerNetwork, PeerSettings
from chestnutstair.transport.platform import (
    HttpObjectStore,
    HttpTable,
    HttpVmControl,
    HttpVmDirectory,
    HttpWorkerControl,
)
from chestnutstair.transport.reaper import SocketReaper
from chestnutstair.transport.server import (
    HttpServer,
    build_server,
    split_address,
)
from chestnutstair.transport.targets import HttpTargetClient

__all__ = ["Node"]

logger = logging.getLogger(__name__)

MESSAGE_KINDS = (
    FactsMessage,
    HeartbeatMessage,
    LeavingMessage,
    PressureMessage,
    PullMessage,
    RecordsMessage,
    ViewMessage,
)
READY_POLL_SECONDS = 0.1


class Node:
    """One daemon, with all its parts wired together by its settings."""

    def __init__(self, settings: DaemonSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._serving = False
        self._stopping = False
        self._build_platform()
        self._build_coordination()
        self._build_loops()
        self._build_servers()

    def _build_platform(self) -> None:
        settings = self._settings
        arguments = (
            settings.platform_url,
            settings.name,
            settings.zone,
            self._clock,
            settings.platform,
        )
        self._table = HttpTable(*arguments)
        self._objects = HttpObjectStore(*arguments)
        self._directory = CachedVmDirectory(
            HttpVmDirectory(*arguments),
            self._clock,
            settings.loops.list_age_seconds,
        )
        self._control = HttpVmControl(*arguments)
        self._workers = HttpWorkerControl(*arguments)

    def _build_coordination(self) -> None:
        settings = self._settings
        clock = self._clock
        incarnation = uuid.uuid4().hex
        host, port = split_address(settings.peers_address)
        self._network = PeerNetwork(
            settings.name,
            incarnation,
            MESSAGE_KINDS,
            PeerSettings(
                host, port, link=settings.links, server=settings.peers_server
            ),
        )
        self._log = ChangeLog(
            self._table, clock, settings.name, FleetView(), self._objects
        )
        member = Member(
            settings.name, settings.zone, settings.peers_address, incarnation
        )
        self._members = MemberList(
            member,
            self._log,
            self._table,
            self._network,
            clock,
            settings.membership,
        )
        self._replicator = Replicator(
            self._log,
            self._network,
            clock,
            self._members.is_registered,
            settings.spread,
            self._members.register_joining,
        )
        self._duties = LeasedDuties(
            self._table,
            self._members,
            self._list_duties,
            clock,
            settings.duties,
        )
        self._compactor = Compactor(
            self._log,
            self._duties,
            self._members,
            self._directory,
            clock,
            settings.snapshots,
        )
        self._claims = ClaimStore(
            self._table, clock, self._members, settings.claims
        )
        self._forwarder = Forwarder(
            self._log,
            HttpTargetClient(clock, settings.targets, SocketReaper(clock)),
            clock,
            self._members,
            self._network,
            self._claims,
            settings.forwarding,
        )

    def _list_duties(self) -> list[str]:
        view = self._log.view
        return [
            COMPACTION_DUTY,
            SWEEP_DUTY,
            *map(build_maintenance_duty_name, view.pools),
            *list_duty_names(view),
        ]

    def _build_loops(self) -> None:
        settings = self._settings
        loops = settings.loops
        forecaster = LoadForecaster(self._clock, settings.forecast)
        observer = LoadSampler(self._forwarder.measure_utilization, forecaster)
        drains = DrainController(
            self._log,
            self._duties,
            self._directory,
            self._control,
            self._members,
            self._clock,
            forecast=forecaster.predict,
            planning=settings.maintenance,
            drains=settings.drains,
        )
        outages = OutageDetector(
            self._log,
            self._duties,
            self._directory,
            self._control,
            self._clock,
            settings.outages,
        )
        self._tasks = TaskController(
            self._log,
            self._table,
            self._duties,
            self._workers,
            self._clock,
            settings.placement,
        )
        reader = VmListReader(self._directory, self._forwarder.apply_vm_list)
        sweeper = ClaimSweeper(self._claims, self._duties, settings.sweep)
        self._loops = (
            self._build_loop("load", observer.run_once, loops.load_seconds),
            self._build_loop("sweep", sweeper.run_once, loops.sweep_seconds),
            self._build_loop(
                "directory", reader.run_once, loops.directory_seconds
            ),
            self._build_loop("drains", drains.run_once, loops.drain_seconds),
            self._build_loop(
                "outages", outages.run_once, loops.outage_seconds
            ),
            self._build_loop(
                "placement", self._tasks.run_once, loops.placement_seconds
            ),
        )

    def _build_loop(
        self, name: str, run: Callable[[Deadline], None], seconds: float
    ) -> Loop:
        def run_round() -> float:
            round_seconds = self._settings.loops.round_seconds
            run(Deadline.after(self._clock, round_seconds))
            return seconds

        return Loop(name, run_round)

    def _build_servers(self) -> None:
        settings = self._settings
        service = OperatorService(
            self._log,
            self._members,
            TicketService(self._log, self._members, self._table, self._clock),
            self._tasks,
            self.is_ready,
            self._clock,
            settings.operators,
        )
        self._admin = HttpServer(
            "admin",
            build_server(
                split_address(settings.admin_address),
                build_operator_application(service),
                settings.admin_server,
                self._clock,
                "admin",
            ),
        )
        callers = build_callers_server(
            build_callers_application(
                self._forwarder, settings.calls, self._clock
            ),
            split_address(settings.callers_address),
            settings.calls,
            settings.forwarding.admission.threads,
        )
        callers.shutdown_timeout = settings.stop.finish_seconds
        self._callers = HttpServer("callers", callers)

    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers here."""
        return self._serving and not self._stopping

    def start(self) -> None:
        """Start every part, and serve callers once the view is loaded.

        Raises OSError if an address cannot be bound.
        """
        self._admin.start()
        self._network.start()
        self._members.register()
        self._members.start()
        self._replicator.start()
        self._wait_for_view()
        if self._stopping:
            return
        self._forwarder.start()
        self._callers.start()
        self._members.mark_ready()
        self._serving = True
        self._duties.start()
        self._compactor.start()
        for loop in self._loops:
            loop.start()
        logger.info("serving from revision %d", self._log.view.revision)

    def _wait_for_view(self) -> None:
        while not self._replicator.is_ready() and not self._stopping:
            self._clock.sleep(READY_POLL_SECONDS)

    def begin_stop(self) -> None:
        """Stop reporting that this daemon is ready."""
        # Called in a signal handler, so this must not acquire a lock.
        if not self._stopping:
            self._stopping = True
            self._forwarder.begin_stop()

    def is_stopping(self) -> bool:
        """Return whether the stop has begun."""
        return self._stopping

    def stop(self) -> None:
        """Finish requests in flight, release duties and stop every part."""
        self.begin_stop()
        finish_seconds = self._settings.stop.finish_seconds
        self._forwarder.wait_idle(Deadline.after(self._clock, finish_seconds))
        self._callers.stop()
        self._forwarder.stop()
        for loop in self._loops:
            loop.stop()
        self._compactor.stop()
        self._duties.stop()
        self._replicator.stop()
        self._members.stop()
        self._network.close()
        self._admin.stop()
        logger.info("stopped")
