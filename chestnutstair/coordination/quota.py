"""Shares of the teams' quotas that pools hold, as rows in the table.

The tasks of a team run in several pools, placed by different daemons.
Each pool holds a grant of the quota; all grants of a team are one row,
so that their sum can not exceed the quota.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from result import Err, Ok, Result

from chestnutstair.coordination.duty import Duty
from chestnutstair.coordination.platform import (
    ABSENT,
    Condition,
    Key,
    Table,
    Write,
)
from chestnutstair.coordination.task_store import CommitFailure
from chestnutstair.state.codec import STRICT, decode_value, encode_value
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.resource import (
    NO_RESOURCES,
    Resources,
    max_resources,
    min_resources,
)

__all__ = ["GRANT_TABLE", "QuotaGrants", "QuotaSettings", "TeamGrants"]

GRANT_TABLE = "grants"
ROUNDING_TOLERANCE = Resources(1e-6, 1e-6)


@dataclass(frozen=True)
class QuotaSettings:
    """How pools hold grants.

    A grant is `slack` of the quota (a share) above its use, and lowered
    once it exceeds its use by twice that; when less than that is left to
    other pools, it is just the use. Rows are read anew after
    `refresh_seconds`.
    """

    __pydantic_config__ = STRICT

    slack: float = 0.05
    refresh_seconds: float = 2.0


@dataclass(frozen=True)
class TeamGrants:
    """The row of one team: what each pool may hold."""

    __pydantic_config__ = STRICT

    pools: Mapping[str, Resources] = field(default_factory=dict)

    def sum_others(self, pool: str) -> Resources:
        """Return the sum of all grants but the pool's."""
        total = NO_RESOURCES
        for name, grant in self.pools.items():
            if name != pool:
                total += grant
        return total


def _scale(quota: Resources, share: float) -> Resources:
    return Resources(
        quota.cores * share,
        quota.memory_gb * share,
        int(quota.accelerators * share),
    )


class QuotaGrants:
    """The grants of one pool, cached by the holder of its duty."""

    def __init__(
        self, table: Table, pool: str, clock: Clock, settings: QuotaSettings
    ) -> None:
        self._table = table
        self._pool = pool
        self._clock = clock
        self._settings = settings
        self._grants: dict[str, TeamGrants] = {}
        self._versions: dict[str, int] = {}
        self._next_read: dict[str, Deadline] = {}

    def refresh(
        self, teams: list[str], deadline: Deadline
    ) -> Result[None, CommitFailure]:
        """Read the rows of the teams that were not read lately."""
        stale = [
            team
            for team in teams
            if team not in self._next_read
            or self._next_read[team].has_passed(self._clock)
        ]
        if not stale:
            return Ok(None)
        keys = [Key(GRANT_TABLE, team) for team in stale]
        match self._table.read(keys, deadline):
            case Err(failure):
                return Err(failure)
            case Ok(rows):
                later = Deadline.after(
                    self._clock, self._settings.refresh_seconds
                )
                for team, row in zip(stale, rows, strict=True):
                    value = {} if row is None else row.value
                    decoded = decode_value(TeamGrants, value)
                    self._grants[team] = decoded.unwrap()
                    self._versions[team] = row.version if row else ABSENT
                    self._next_read[team] = later
        return Ok(None)

    def list_granted_teams(self) -> set[str]:
        """Return the teams of which the pool holds a grant."""
        return {
            team
            for team, grants in self._grants.items()
            if grants.pools.get(self._pool, NO_RESOURCES) != NO_RESOURCES
        }

    def compute_limit(self, team: str, quota: Resources) -> Resources:
        """Return what the pool's tasks of the team could hold by now."""
        grants = self._grants.get(team, TeamGrants())
        return quota - grants.sum_others(self._pool)

    def adjust_grants(
        self,
        duty: Duty,
        held: Mapping[str, Resources],
        quotas: Mapping[str, Resources],
        deadline: Deadline,
    ) -> Result[None, CommitFailure]:
        """Make the pool's grants cover what its tasks are to hold.

        On a conflict nothing is granted, and the rows are read anew.
        """
        changes = {
            team: grant
            for team, amount in held.items()
            if (grant := self._choose_grant(team, amount, quotas[team]))
            is not None
        }
        if not changes:
            return Ok(None)
        conditions = [duty.build_condition()]
        writes = []
        for team, grant in changes.items():
            key = Key(GRANT_TABLE, team)
            conditions.append(Condition(key, self._versions[team]))
            pools = {**self._grants[team].pools, self._pool: grant}
            writes.append(Write(key, encode_value(TeamGrants(pools))))
            self._next_read.pop(team)
        committed = self._table.commit(conditions, writes, deadline)
        if committed.is_err():
            return committed
        return self.refresh(list(changes), deadline)

    def _choose_grant(
        self, team: str, amount: Resources, quota: Resources
    ) -> Resources | None:
        """Return the new grant, or None if the present one will do."""
        if team not in self._next_read:
            return None
        grants = self._grants[team]
        own = grants.pools.get(self._pool, NO_RESOURCES)
        left = quota - grants.sum_others(self._pool)
        slack = _scale(quota, self._settings.slack)
        if amount == NO_RESOURCES or not slack.fits_into(left - own):
            slack = NO_RESOURCES
        highest = amount + slack + slack + ROUNDING_TOLERANCE
        if amount.fits_into(own + ROUNDING_TOLERANCE) and own.fits_into(highest):
            return None
        return max_resources(amount, min_resources(amount + slack, left))
