"""Keeps tasks that may crash their worker apart from other starts."""

from chestnutstair.scheduling.workers import WorkerState

__all__ = ["RESERVED_SHARE", "PoolIsolation"]

# Largest part of a pool that is kept free of other starts while suspected
# tasks wait. The rest of the pool serves all other work.
RESERVED_SHARE = 0.5


class PoolIsolation:
    """The usable workers of one pool in one planning round.

    A suspected task starts only on a worker whose other runs have all proven
    themselves, and nothing else starts there until it has done so too.
    """

    def __init__(self, workers: list[WorkerState]) -> None:
        self.workers = workers
        self.open_workers = workers
        self._close_workers()

    def reserve(self, suspect_count: int) -> None:
        """Reserve workers for suspected tasks that wait; open the others.

        Workers stay reserved from round to round until then, as their latest
        runs first have to prove themselves.
        """
        for worker in self.workers:
            worker.suspects_wait = bool(suspect_count)
        if not suspect_count and self.open_workers is self.workers:
            return
        limit = max(1, int(len(self.workers) * RESERVED_SHARE))
        count = min(suspect_count, limit)
        ranked = sorted(
            self.workers,
            key=lambda worker: (
                not worker.reserved,
                worker.lasting_runs,
                worker.used_millicores,
                worker.name,
            ),
        )
        for number, worker in enumerate(ranked):
            worker.reserved = number < count
        self._close_workers()

    def close_worker(self, worker: WorkerState) -> None:
        """Exclude a worker from other starts, as a suspect was placed."""
        self.open_workers = [
            other for other in self.open_workers if other is not worker
        ]

    def _close_workers(self) -> None:
        if any(item.reserved or item.probation for item in self.workers):
            self.open_workers = [
                worker
                for worker in self.workers
                if not (worker.reserved or worker.probation)
            ]
        else:
            self.open_workers = self.workers

    def list_quiet_workers(self) -> list[WorkerState]:
        """Return the workers on which a suspected task may start."""
        return [
            worker
            for worker in self.workers
            if all(worker.has_proven(run) for run in worker.runs.values())
        ]
