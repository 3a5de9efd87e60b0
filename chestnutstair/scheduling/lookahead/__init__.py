"""Look-ahead placement: reservations for tasks that do not fit yet.

The planner decides, in each round, from the runs of a pool and the durations
of earlier runs. Nothing is stored: a new leader starts without reservations
and makes them again in its first round.
"""

from chestnutstair.scheduling.lookahead.durations import (
    DurationForecast,
    SizeClass,
    classify_step,
)
from chestnutstair.scheduling.lookahead.planner import LookAhead
from chestnutstair.scheduling.lookahead.reservations import (
    PoolOutlook,
    Reservation,
    ReservationBook,
    ReservationSettings,
)

__all__ = [
    "DurationForecast",
    "LookAhead",
    "PoolOutlook",
    "Reservation",
    "ReservationBook",
    "ReservationSettings",
    "SizeClass",
    "classify_step",
]
