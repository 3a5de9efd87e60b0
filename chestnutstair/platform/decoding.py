"""Decoders of the platform's JSON documents."""

from typing import Any

from result import Err, Result

from chestnutstair.scheduling.configuration import (
    FleetConfiguration,
    MaintenanceWave,
    Queue,
    Service,
)
from chestnutstair.scheduling.ports import (
    SubmissionCodec,
    WireDecoder,
    WorkerEntry,
)
from chestnutstair.scheduling.specification import (
    JobSpecification,
    Step,
    SubmissionFailure,
    check_job,
)
from chestnutstair.transport.json_calls import parse_json_object

__all__ = ["PlatformDecoder", "PlatformSubmissions", "read_submission"]

STATES = ("ready", "draining")


def _read_step(item: dict[str, Any]) -> Step:
    return Step(
        count=int(item.get("count", 0)),
        millicores=int(item.get("cpu", 0)),  # thousandths of a core
        memory_mb=int(item.get("memMb", 0)),
        accelerators=int(item.get("gpu", 0)),
        estimate_ms=int(item.get("estimateMs", 0)),
        after=tuple(int(number) for number in item.get("after", ())),
        gang=bool(item.get("gang")),
        same_rack=bool(item.get("sameRack")),
        required_label=str(item.get("requires") or ""),
        data_rack=str(item.get("affinity") or ""),  # holds its input data
        # Despite its name not an exclusion: the maximum number of the step's
        # tasks on one worker.
        spread_limit=int(item.get("antiAffinity") or 0),
        speculative=bool(item.get("speculative")),
        checkpoints=bool(item.get("checkpoint")),
        lasting=bool(item.get("longRunning")),
        image=str(item.get("image") or ""),
        tail_target_ms=int(item.get("targetMs") or 0),
        filler=bool(item.get("fills")),
        max_unavailable=int(item.get("mayMiss") or 0),
    )


def read_submission(
    body: bytes,
) -> Result[JobSpecification, SubmissionFailure]:
    """Decode and check a submitted job.

    The failure says what is wrong with it.
    """
    fields = parse_json_object(body)
    if fields is None:
        return Err(SubmissionFailure("the body is not a JSON object"))
    try:
        job = JobSpecification(
            payload=str(fields.get("spec", "")),
            steps=tuple(_read_step(item) for item in fields["steps"]),
            occurrences=int(fields.get("repeats") or 0),
            # Despite its name not a delay: a point in time, in ms since 1970.
            first_due_ms=int(fields.get("initialDelayMs") or 0),
            interval_ms=int(fields.get("intervalMs") or 0),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        return Err(SubmissionFailure(f"unreadable: {error!r}"))
    return check_job(job).map(lambda _: job)


class PlatformSubmissions(SubmissionCodec):
    """Decodes stored submissions."""

    def read_job(
        self, body: bytes
    ) -> Result[JobSpecification, SubmissionFailure]:
        """Return the job, or the reason why the submission is invalid."""
        return read_submission(body)


def _read_queue(item: dict[str, Any]) -> Queue:
    return Queue(
        name=item["name"],
        host=item["host"],
        prefix=item["prefix"],
        service=item.get("service", ""),
        priority=int(item.get("priority", 0)),
        max_attempts=int(item.get("maxAttempts") or 1),
        stretch=float(item.get("stretch") or 1.0),
        latency_objective_ms=int(item.get("targetLatencyMs") or 0),
        advice_seconds=float((item.get("advice") or {}).get("validMs", 0))
        / 1000,
    )


class PlatformDecoder(WireDecoder):
    """Decodes what the operator and the runners write into the store."""

    def read_configuration(self, value: bytes) -> FleetConfiguration | None:
        """Return the configuration, or None if it cannot be decoded."""
        fields = parse_json_object(value)
        if fields is None:
            return None
        try:
            services = {
                item["name"]: Service(
                    item["name"],
                    bool(item.get("enforcesCapacity")),
                    bool(item.get("spare")),
                )
                for item in fields.get("services", ())
            }
            queues = tuple(_read_queue(item) for item in fields["routes"])
            return FleetConfiguration(int(fields["version"]), queues, services)
        except (KeyError, TypeError, ValueError, AttributeError):
            return None

    def read_wave(self, value: bytes) -> MaintenanceWave | None:
        """Return the wave, or None if it cannot be decoded."""
        fields = parse_json_object(value)
        if fields is None:
            return None
        try:
            return MaintenanceWave(
                int(fields["wave"]),
                tuple(str(name) for name in fields["machines"]),
                float(fields["durationS"]),
                int(fields["cap"]),
            )
        except (KeyError, TypeError, ValueError):
            return None

    def read_worker(self, name: str, value: bytes) -> WorkerEntry | None:
        """Return the worker, or None if the entry is not usable."""
        fields = parse_json_object(value)
        if fields is None:
            return None
        try:
            if fields["state"] not in STATES:
                return None
            capacity = dict(fields["capacity"])
            labels = tuple(str(label) for label in fields["labels"])
            return WorkerEntry(
                name=name,
                born_ms=int(fields.get("born", 0)),
                service=str(fields["service"]),
                address=str(fields["address"]),
                zone=str(fields["zone"]),
                draining=fields["state"] == "draining",
                millicores=int(capacity.get("cpu", 0)),
                memory_mb=int(capacity.get("memMb", 0)),
                accelerators=int(capacity.get("gpu", 0)),
                labels=labels,
                rack=_find_rack(labels),
                vm=str(fields.get("machine") or ""),
            )
        except (KeyError, TypeError, ValueError):
            return None


def _find_rack(labels: tuple[str, ...]) -> str:
    # The first label is the kind, the second the rack.
    return labels[1] if len(labels) > 1 else ""
