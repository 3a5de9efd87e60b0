"""The composition root of a scheduler node."""

import logging
from collections.abc import Callable
from functools import partial

from chestnutstair.fleet_settings import FleetSettings
from chestnutstair.platform import (
    PlatformDecoder,
    PlatformRowStore,
    PlatformSubmissions,
    PlatformVmControl,
    PlatformWorkerControl,
    RunnerSettings,
    build_ready_application,
    build_requester_application,
    calls_for_turns,
)
from chestnutstair.scheduling.advice import AdviceCache
from chestnutstair.scheduling.election import (
    Election,
    ElectionSettings,
    LeaderStatus,
    NodeContact,
)
from chestnutstair.scheduling.fleet_controller import FleetController
from chestnutstair.scheduling.fleet_state import FleetControllerSettings
from chestnutstair.scheduling.intake import IntakeLayout
from chestnutstair.scheduling.job_requests import (
    JobRequestHandler,
    JobRequestSettings,
)
from chestnutstair.scheduling.job_tracker import JobTracker, JobTrackerSettings
from chestnutstair.scheduling.leader import Leader, LeaderSettings
from chestnutstair.scheduling.leadership import Leadership
from chestnutstair.scheduling.lookahead import ReservationSettings
from chestnutstair.scheduling.members import MemberPoller, Members
from chestnutstair.scheduling.operator_watch import OperatorWatch
from chestnutstair.scheduling.orders import OrderSender, OrderSettings
from chestnutstair.scheduling.pacing import Pacer, PacingSettings
from chestnutstair.scheduling.placement import PlacementSettings, Planner
from chestnutstair.scheduling.sessions import (
    SessionSettings,
    WorkerSessions,
)
from chestnutstair.scheduling.shards import Shard
from chestnutstair.scheduling.shards.elections import ShardElections
from chestnutstair.scheduling.shards.layout import ONE_SHARD
from chestnutstair.scheduling.shards.layout_source import (
    LayoutSettings,
    LayoutSource,
)
from chestnutstair.scheduling.term import Term, TermSettings
from chestnutstair.state.deadline import Clock
from chestnutstair.transport.leader_calls import (
    HttpLeaderLink,
    ShardStatusSource,
    build_node_application,
)
from chestnutstair.transport.platform_client import (
    PlatformClient,
    PlatformClientSettings,
)
from chestnutstair.transport.server import (
    HttpServer,
    ServerSettings,
    build_server,
    split_address,
)

__all__ = ["FleetNode"]

logger = logging.getLogger(__name__)

STORE_CONNECTIONS = 16
VM_CONNECTIONS = 12  # one for each thread that sends orders
# Timeouts of fetching a configuration. From the leader, it delays the check of
# the leader; from a member, nothing else. Over a link of 2 Mbit/s,
# configurations with thousands of keys take half a second and more.
LEADER_FETCH_SECONDS = 0.5
MEMBER_FETCH_SECONDS = 1.5
# Writes of all leaders together: a third of what the store takes, as most of
# the others are submissions. With up to 8 shards each leader writes as often
# as one alone.
LEADER_WRITES_PER_SECOND = 400
# How long a leader of one of several shards may load: 3 s for its own rows and
# 7 s for the registry, which has the workers of all shards.
SHARD_LOAD_SECONDS = 10.5
# Shards that a node leads at most while others can. The process uses little
# more than one core, however many the VM has.
MOST_LED = 2
# Share of `grace_seconds` during which open connections are still served after
# leadership was handed over.
DRAIN_GRACE_SHARE = 0.5


class FleetNode:
    """One scheduler node, with its parts wired together by its settings."""

    def __init__(self, settings: FleetSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._serving = False
        self._stopping = False
        self._build_parts()
        self._build_servers()

    def _build_client(
        self, address: str, connections: int, resets: bool = False
    ) -> PlatformClient:
        return PlatformClient(
            f"http://{address}",
            "",
            "",
            self._clock,
            PlatformClientSettings(connections, resets),
        )

    def _build_parts(self) -> None:
        settings = self._settings
        clock = self._clock
        self._store = PlatformRowStore(
            self._build_client(settings.store_address, STORE_CONNECTIONS)
        )
        self._decoder = PlatformDecoder()
        self._workers = PlatformWorkerControl(
            clock, settings.policy_address, RunnerSettings()
        )
        self._vms = PlatformVmControl(
            self._build_client(settings.vms_address, VM_CONNECTIONS, True),
            clock,
        )
        self._watch = OperatorWatch(
            self._store, self._decoder, clock, self._wake_leaders
        )
        self._members = Members(settings.nodes_address, clock)
        self._link = HttpLeaderLink(
            clock,
            self._get_leader_address,
            self._find_shard,
            self._report_failure,
            settings.name,
            settings.nodes_address,
        )
        self._election_settings = ElectionSettings()
        layout_source = LayoutSource(
            settings.name,
            self._store,
            self._vms,
            settings.vms_per_shard,
            clock,
            LayoutSettings(),
        )
        self._election = ShardElections(
            layout_source,
            self._build_election,
            lambda: self._watch.is_feed_failing,
            clock,
            self._election_settings.cut_off_seconds,
            self._count_most_led(),
        )
        self._member_poller = MemberPoller(
            self._members,
            self._link.ask_member_status,
            self._needs_members,
            self._apply_member_status,
        )
        self._job_requests = JobRequestHandler(
            self._store,
            self._link,
            self._get_leader,
            self._election.is_cut_off,
            clock,
            JobRequestSettings(),
            self._find_intake_layout,
            lambda: self._election.layout,
        )

    def _count_most_led(self) -> int:
        """Return how many shards this node has the power to lead."""
        power = self._settings.processor.available_cores
        needed = self._election_settings.required_power
        return MOST_LED if power >= needed else 1

    def _build_election(
        self,
        shard: Shard,
        contact: NodeContact,
        count_led: Callable[[], int],
        may_check: Callable[[], bool],
        run_load: Callable[[Callable[[], None]], None],
    ) -> Election:
        settings = self._settings
        return Election(
            settings.name,
            settings.zone,
            settings.nodes_address,
            self._store,
            ShardStatusSource(self._link, shard.number),
            partial(self._build_leader, shard),
            self._apply_leader_status,
            self._clock,
            self._election_settings,
            TermSettings(),
            settings.processor.available_cores,
            shard,
            contact,
            count_led,
            may_check,
            run_load,
        )

    def _build_leader(
        self, shard: Shard, term: Term, unchanged_seconds: float
    ) -> Leader:
        clock = self._clock
        settings = OrderSettings(
            lease_seconds=min(
                OrderSettings.lease_seconds,
                self._settings.longest_lease_seconds,
            )
        )
        tracker = JobTracker(
            clock,
            JobTrackerSettings(
                takeover_wait_seconds=settings.compute_takeover_wait(
                    unchanged_seconds
                ),
                longest_stop_seconds=self._settings.longest_stop_seconds,
                cap_share=shard.share,
            ),
        )
        leadership = Leadership(term)
        advice = AdviceCache(self._workers, clock)
        pacer = Pacer(clock, PacingSettings())
        placement = PlacementSettings(
            lookahead=ReservationSettings()
            if self._settings.lookahead
            else None
        )
        planner = Planner(tracker, clock, placement, advice)
        orders = OrderSender(
            leadership, tracker, self._workers, advice, pacer, clock, settings
        )
        sessions = WorkerSessions(
            leadership,
            tracker,
            self._workers,
            orders,
            pacer,
            clock,
            SessionSettings(),
        )
        leader = Leader(
            leadership,
            tracker,
            planner,
            advice,
            self._store,
            sessions,
            orders,
            self._decoder,
            PlatformSubmissions(),
            lambda: self._watch.configuration,
            clock,
            LeaderSettings(
                min_write_interval_seconds=max(
                    LeaderSettings.min_write_interval_seconds,
                    shard.layout.shards / LEADER_WRITES_PER_SECOND,
                ),
                max_load_seconds=(
                    LeaderSettings.max_load_seconds
                    if shard.is_only
                    else SHARD_LOAD_SECONDS
                ),
            ),
            self._build_intake_layout(shard),
            shard,
        )
        times = self._settings.pools
        fleet_controller = FleetController(
            leader,
            planner,
            self._vms,
            self._store,
            lambda: self._watch.waves,
            self._clock,
            FleetControllerSettings(
                min_order_interval_seconds=times.turn_seconds,
                move_seconds=times.move_seconds,
                maintenance_seconds=times.maintenance_seconds,
                orders_per_second=times.orders_per_second * shard.share,
                follow_turns=times.follow_turns
                or calls_for_turns(self._settings.contracts),
            ),
            shard,
        )
        leader.add_start_callback(fleet_controller.start)
        return leader

    def _build_servers(self) -> None:
        settings = self._settings
        callers = build_requester_application(
            self._job_requests,
            lambda: self._watch.configuration,
            self.is_stopping,
            self._clock,
            self._get_cap_share,
        )
        nodes = build_node_application(
            self._describe,
            self._get_leader,
            lambda: self._watch.encoded_configuration,
            self._job_requests,
            self._clock,
            self._members,
        )
        ready = build_ready_application(self.is_ready)
        servers = settings.servers
        self._servers = [
            self._build_server(
                "nodes", settings.nodes_address, nodes, servers.nodes
            ),
            self._build_server(
                "ready", settings.ready_address, ready, servers.ready
            ),
            self._build_server(
                "callers", settings.callers_address, callers, servers.callers
            ),
        ]

    def _build_server(
        self,
        name: str,
        address: str,
        application: object,
        settings: ServerSettings,
    ) -> HttpServer:
        server = build_server(
            split_address(address), application, settings, self._clock, name
        )
        return HttpServer(name, server)

    def _build_intake_layout(self, shard: Shard) -> IntakeLayout:
        """Return where the rows of a shard's jobs are stored.

        The shards share the writes a second that the store accepts.
        """
        return IntakeLayout(
            shard.names.intake_table,
            self._settings.intake.count_partitions(shard.layout.shards),
        )

    def _get_cap_share(self) -> float:
        """Return the part of an organisation's cap that a shard may use."""
        return Shard(0, self._election.layout or ONE_SHARD).share

    def _find_intake_layout(self, job: str) -> IntakeLayout:
        """Return where the rows of a job are stored."""
        layout = self._election.layout or ONE_SHARD
        return self._build_intake_layout(
            Shard(layout.find_shard_of_job(job), layout)
        )

    def _get_leader(self, shard: int) -> Leader | None:
        return self._election.get_leader(shard)

    def _get_leader_address(self, shard: int) -> str:
        return self._election.get_leader_address(shard)

    def _report_failure(self, shard: int) -> None:
        self._election.report_failure(shard)

    def _find_shard(self, job: str) -> int:
        layout = self._election.layout
        return layout.find_shard_of_job(job) if layout is not None else 0

    def _describe(self, shard: int, poller: str) -> LeaderStatus:
        version = self._watch.configuration_version
        return self._election.describe(shard, poller, version)

    def _wake_leaders(self) -> None:
        for leader in self._election.list_leaders():
            leader.wake()

    def _apply_leader_status(self, address: str, status: LeaderStatus) -> None:
        self._members.learn((*status.members, address))
        self._election.apply_leaders(status.leaders)
        self._fetch_newer_configuration(address, status, LEADER_FETCH_SECONDS)

    def _needs_members(self) -> bool:
        return self._watch.is_feed_failing or not self._election.hears_leader

    def _apply_member_status(self, address: str, status: LeaderStatus) -> None:
        self._members.learn(status.members)
        self._election.suggest_leader(status.leader_address)
        self._election.apply_leaders(status.leaders)
        self._fetch_newer_configuration(address, status, MEMBER_FETCH_SECONDS)

    def _fetch_newer_configuration(
        self, address: str, status: LeaderStatus, seconds: float
    ) -> None:
        """Fetch the configuration from a node that has a newer version."""
        if status.configuration_version <= self._watch.configuration_version:
            return
        answer = self._link.ask_configuration(address, seconds)
        if answer.is_ok():
            self._watch.apply_if_newer(answer.unwrap(), address)

    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers here."""
        return (
            self._serving
            and not self._stopping
            and self._watch.configuration is not None
            and not self._election.is_cut_off()
        )

    def is_stopping(self) -> bool:
        """Return whether the stop has begun."""
        return self._stopping

    def start(self) -> None:
        """Start every part.

        Raises OSError if an address cannot be bound.
        """
        for server in self._servers:
            server.start()
        self._watch.start()
        self._election.start()
        self._member_poller.start()
        self._serving = True
        logger.info("started", extra={"node": self._settings.name})

    def begin_stop(self) -> None:
        """Stop reporting that this node is ready."""
        # Called in a signal handler, so this must not acquire a lock.
        self._stopping = True

    def stop(self) -> None:
        """Hand over leadership, answer requests in flight and stop."""
        logger.info("stopping", extra={"node": self._settings.name})
        self._member_poller.stop()
        self._election.stop()
        self._clock.sleep(self._settings.grace_seconds * DRAIN_GRACE_SHARE)
        self._watch.stop()
        for server in reversed(self._servers):
            server.stop()
        logger.info("stopped", extra={"node": self._settings.name})
