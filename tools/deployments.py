"""Tickets and settings of the two deployments at their current sizes."""

from dataclasses import dataclass

from chestnutstair.coordination.membership import MembershipSettings
from chestnutstair.settings import DaemonSettings
from chestnutstair.state.fleet import Job, Pool, PoolKind, Team, Vm, Zone
from chestnutstair.state.resource import Resources
from chestnutstair.state.ticket import Ticket

__all__ = [
    "PAPAGALAKI",
    "ROSALEDA",
    "Deployment",
    "build_settings",
    "build_ticket",
]

ENTRY_VM_COUNT = 7
RACK_SIZE = 4
SLOTS_PER_VM = 8
CONNECTIONS_PER_VM = 64


@dataclass(frozen=True)
class Deployment:
    """Sizes of one deployment."""

    name: str
    region: str
    services: tuple[str, ...]  # the pools of the last one are the spare pools
    zone_count: int
    vms_per_pool: int
    worker: Resources  # of each worker
    budget: int  # availability budget of each pool, in VMs

    def list_zones(self) -> tuple[str, ...]:
        """Return the names of the availability zones."""
        return tuple(f"{self.region}-{i + 1}" for i in range(self.zone_count))


PAPAGALAKI = Deployment(
    "papagalaki",
    "greece",
    (
        "box-planning",
        "couriers-renewals",
        "gift-subscriptions",
        "billing",
        "back-office",
    ),
    zone_count=4,
    vms_per_pool=8,
    worker=Resources(64, 256),
    budget=2,
)
ROSALEDA = Deployment(
    "rosaleda",
    "argentina",
    ("bouquets", "dispatch", "gift-baskets", "card-printing", "accounts"),
    zone_count=3,
    vms_per_pool=6,
    worker=Resources(16, 64),
    budget=2,
)


def _build_pools(deployment: Deployment, service: str) -> tuple[Pool, Pool]:
    spare = service == deployment.services[-1]
    return (
        Pool(
            service,
            PoolKind.RUNNERS,
            service,
            deployment.budget,
            SLOTS_PER_VM,
            CONNECTIONS_PER_VM,
            spare,
        ),
        Pool(
            f"{service}-jobs",
            PoolKind.WORKERS,
            service,
            deployment.budget,
            spare=spare,
        ),
    )


def _build_vms(
    deployment: Deployment, pool: Pool, subnet: int
) -> tuple[Vm, ...]:
    zones = deployment.list_zones()
    worker = pool.kind is PoolKind.WORKERS
    return tuple(
        Vm(
            f"{pool.name}-{index}",
            pool.name,
            zones[index % len(zones)],
            f"{pool.name}-rack-{index // RACK_SIZE}",
            f"10.0.{subnet}.{index + 1}:8000",
            deployment.worker if worker else Resources(),
        )
        for index in range(deployment.vms_per_pool)
    )


def build_ticket(deployment: Deployment) -> Ticket:
    """Return ticket 1, which declares the whole deployment."""
    pools = [
        pool
        for service in deployment.services
        for pool in _build_pools(deployment, service)
    ]
    vms = [
        vm
        for subnet, pool in enumerate(pools)
        for vm in _build_vms(deployment, pool, subnet)
    ]
    total = deployment.vms_per_pool * len(deployment.services)
    worker = deployment.worker
    quota = Resources(worker.cores * total, worker.memory_gb * total)
    first = deployment.services[0]
    return Ticket(
        number=1,
        author="operator@example.com",
        reason="First state of the fleet",
        zones=tuple(
            Zone(name, deployment.region) for name in deployment.list_zones()
        ),
        teams=(Team("operations", quota),),
        pools=tuple(pools),
        vms=tuple(vms),
        jobs=(
            Job(
                f"{first}-nightly",
                "operations",
                f"{first}-jobs",
                "normal",
                Resources(4, 8),
                60.0,
                4,
            ),
        ),
    )


def build_settings(deployment: Deployment, index: int) -> DaemonSettings:
    """Return the settings of the daemon on the entry VM `index`."""
    zones = deployment.list_zones()
    hosts = [f"10.0.100.{i + 1}" for i in range(ENTRY_VM_COUNT)]
    host = hosts[index]
    return DaemonSettings(
        name=f"entry-{index}",
        zone=zones[index % len(zones)],
        callers_address=f"{host}:8080",
        admin_address=f"{host}:8081",
        peers_address=f"{host}:8082",
        platform_url="http://10.0.200.1:8000",
        membership=MembershipSettings(
            seeds=tuple(f"{other}:8082" for other in hosts if other != host)
        ),
    )
