"""Grants of the teams' quotas to pools, stored as rows in the table.

The tasks of a team may run in several pools, which are placed by different
daemons. Each pool holds a grant, a part of the team's quota. All grants of
a team are stored in one row, so that their sum cannot exceed the quota.
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
    """How pools' grants of the teams' quotas are sized and refreshed.

    - `slack`: the share (0 to 1) of the quota by which a grant exceeds
      its use. The grant is lowered once it exceeds its use by twice the
      slack. If less than the slack is left for other pools, the grant
      covers just the use.
    - `refresh_seconds`: how old a cached row may be before it is read
      again.
    """

    __pydantic_config__ = STRICT

    slack: float = 0.05
    refresh_seconds: float = 2.0


@dataclass(frozen=True)
class TeamGrants:
    """The stored row of one team: its grants by pool."""

    __pydantic_config__ = STRICT

    pools: Mapping[str, Resources] = field(default_factory=dict)

    def sum_others(self, pool: str) -> Resources:
        """Return the sum of the grants of all other pools."""
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
    """The grants of one pool, cached by the holder of its duty.

    Commits depend on the cached version of each row.
    """

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
        """Read the rows of the teams whose cached copy is too old."""
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
                next_read = Deadline.after(
                    self._clock, self._settings.refresh_seconds
                )
                for team, row in zip(stale, rows, strict=True):
                    value = {} if row is None else row.value
                    decoded = decode_value(TeamGrants, value)
                    self._grants[team] = decoded.unwrap()
                    self._versions[team] = row.version if row else ABSENT
                    self._next_read[team] = next_read
        return Ok(None)

    def list_granted_teams(self) -> set[str]:
        """Return the teams of whose quota the pool holds a grant."""
        return {
            team
            for team, grants in self._grants.items()
            if grants.pools.get(self._pool, NO_RESOURCES) != NO_RESOURCES
        }

    def compute_limit(self, team: str, quota: Resources) -> Resources:
        """Return how much of the quota the other pools leave to this one."""
        grants = self._grants.get(team, TeamGrants())
        return quota - grants.sum_others(self._pool)

    def adjust_grants(
        self,
        duty: Duty,
        needed: Mapping[str, Resources],
        quotas: Mapping[str, Resources],
        deadline: Deadline,
    ) -> Result[None, CommitFailure]:
        """Adjust the pool's grants so that they cover its tasks.

        `needed` is what the tasks will use, `quotas` the complete quota, both
        by team. On a conflict no grant changes, and the rows are read
        again by the next refresh.
        """
        changes = {
            team: grant
            for team, amount in needed.items()
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
        """Return the new grant, or None if the current one is suitable."""
        if team not in self._next_read:
            return None
        grants = self._grants[team]
        current = grants.pools.get(self._pool, NO_RESOURCES)
        available = quota - grants.sum_others(self._pool)
        slack = _scale(quota, self._settings.slack)
        if amount == NO_RESOURCES or not slack.fits_into(available - current):
            slack = NO_RESOURCES
        highest = amount + slack + slack + ROUNDING_TOLERANCE
        if amount.fits_into(
            current + ROUNDING_TOLERANCE
        ) and current.fits_into(highest):
            return None
        return max_resources(amount, min_resources(amount + slack, available))
