"""Finds the jobs that an organisation sends beyond its weight.

An organisation is owed service for `weight` jobs a second: a token bucket
with one second of burst, and at least one job. The bucket uses the accepted
times of the jobs alone, so that a new leader finds the same jobs.
"""

import math
from bisect import bisect_right
from collections.abc import Mapping

from chestnutstair.scheduling.organisations.organisation import Organisation
from chestnutstair.scheduling.progress import Submission

__all__ = ["ExcessJobs", "read_weights"]


def _read_weight(organisation: Organisation) -> float:
    """Return the weight; a malformed one counts as 1."""
    weight: object = organisation.weight
    if isinstance(weight, bool) or not isinstance(weight, int | float):
        return 1.0
    return float(weight) if math.isfinite(weight) and weight > 0 else 1.0


def read_weights(
    organisations: Mapping[str, Organisation],
) -> dict[str, float]:
    """Return the weights by organisation.

    Jobs without an organisation count as one, whose name is empty and whose
    weight is the sum of all others.
    """
    weights = {
        name: _read_weight(organisation)
        for name, organisation in organisations.items()
    }
    weights[""] = sum(weights.values()) or 1.0
    return weights


class _Bucket:
    """The jobs of one organisation, and which of them took no token."""

    def __init__(self) -> None:
        # Accepted time and name of each job, in order, and the tokens left
        # after it. Tokens are known for the first `_known` jobs.
        self._jobs: list[tuple[int, str]] = []
        self._tokens: list[float] = []
        self._known = 0
        self._weight = 0.0
        self.beyond: set[str] = set()

    def add(self, accepted_ms: int, job: str) -> None:
        # Jobs arrive nearly in order, as they come from several nodes, so only
        # the last few are computed again.
        index = bisect_right(self._jobs, (accepted_ms, job))
        self._jobs.insert(index, (accepted_ms, job))
        self._tokens.insert(index, 0.0)
        self._known = min(self._known, index)

    def remove(self, accepted_ms: int, job: str) -> None:
        index = bisect_right(self._jobs, (accepted_ms, job)) - 1
        if index >= 0 and self._jobs[index] == (accepted_ms, job):
            # What later jobs were given stays as it was.
            del self._jobs[index], self._tokens[index]
            self._known -= index < self._known
            self.beyond.discard(job)

    def update(self, weight: float) -> None:
        if weight != self._weight:
            self._weight, self._known = weight, 0
        burst = max(1.0, weight)
        for index in range(self._known, len(self._jobs)):
            accepted_ms, job = self._jobs[index]
            tokens = burst
            if index:
                seconds = (accepted_ms - self._jobs[index - 1][0]) / 1000
                tokens = self._tokens[index - 1] + seconds * weight
            tokens = min(burst, tokens)
            # A small tolerance, as the sums of parts of tokens are inexact.
            if tokens >= 1.0 - 1e-9:
                tokens -= 1.0
                self.beyond.discard(job)
            else:
                self.beyond.add(job)
            self._tokens[index] = tokens
        self._known = len(self._jobs)


class ExcessJobs:
    """The jobs beyond the weight of each organisation.

    Has all jobs that the store has, also those that have ended. The owner must
    lock access.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def add(self, submission: Submission) -> None:
        """Add an accepted job."""
        bucket = self._buckets.setdefault(submission.organisation, _Bucket())
        bucket.add(submission.accepted_ms, submission.job)

    def remove(self, submission: Submission) -> None:
        """Remove a job that the store no longer has."""
        bucket = self._buckets.get(submission.organisation)
        if bucket is not None:
            bucket.remove(submission.accepted_ms, submission.job)

    def find_beyond(self, weights: Mapping[str, float]) -> set[str]:
        """Return the names of all jobs beyond their organisation's weight.

        An organisation without a weight has weight 1.
        """
        beyond: set[str] = set()
        for organisation, bucket in self._buckets.items():
            bucket.update(weights.get(organisation, 1.0))
            beyond |= bucket.beyond
        return beyond
