"""Publishes the usage of organisations as metrics."""

from collections import Counter
from collections.abc import Iterable

from chestnutstair.scheduling.metrics import (
    ORGANISATION_CAP,
    ORGANISATION_JOBS_WAITING,
    ORGANISATION_RUNNING,
    label_organisation,
)
from chestnutstair.scheduling.organisations.caps import Caps
from chestnutstair.scheduling.progress import JobRecord

__all__ = ["UsageReport"]

REPORT_INTERVAL_SECONDS = 1.0


class UsageReport:
    """Sets the gauges of organisations once a second."""

    def __init__(self, caps: Caps) -> None:
        self._caps = caps
        self._published_at = float("-inf")
        # Labels that have been set; those without a value become 0.
        self._labels: set[str] = set()

    def publish(self, records: Iterable[JobRecord], now: float) -> None:
        """Publish the usage, and what the given active jobs wait for."""
        caps = self._caps
        if (
            not caps.list_organisations()
            or now - self._published_at < REPORT_INTERVAL_SECONDS
        ):
            return
        self._published_at = now
        running: Counter[str] = Counter()
        limits: Counter[str] = Counter()
        waiting: Counter[str] = Counter()
        for name in caps.list_organisations():
            label = label_organisation(name)
            running[label] += caps.usage.get_total(name).millicores
            limits[label] += round(caps.get_cap(name).millicores * caps.share)
        for record in records:
            organisation = record.submission.organisation
            if organisation and record.is_due and record.outlook.startable:
                waiting[label_organisation(organisation)] += 1
        self._labels |= running.keys() | waiting.keys()
        for label in self._labels:
            ORGANISATION_RUNNING.labels(label).set(running[label])
            ORGANISATION_CAP.labels(label).set(limits[label])
            ORGANISATION_JOBS_WAITING.labels(label).set(waiting[label])
