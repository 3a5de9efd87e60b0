"""Decoders of the platform's JSON documents."""

import base64
import json
import logging
import math
from typing import Any

from result import Err, Result

from chestnutstair.scheduling.configuration import (
    FleetConfiguration,
    MaintenanceWave,
    Queue,
    Service,
)
from chestnutstair.scheduling.organisations import Cap, Organisation
from chestnutstair.scheduling.organisations.keys import compute_key_digest
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
from chestnutstair.state.fields import (
    MAX_TIME_MS,
    MalformedFieldError,
    check_name,
    is_text,
    read_address,
    read_amount,
    read_list,
    read_number,
    read_object,
    read_text,
    read_texts,
    read_whole,
)
from chestnutstair.transport.json_calls import parse_json_object

__all__ = ["PlatformDecoder", "PlatformSubmissions", "read_submission"]

logger = logging.getLogger(__name__)

# Field of an organisation in configurations that nodes pass on to each other:
# the digests of its keys in Base64, instead of the keys themselves.
DIGESTS_FIELD = "apiKeyDigests"
DEFAULT_WEIGHT = 1.0
# Longest reason of a refusal; errors may quote the value.
MAX_REASON = 200


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
        # Stored as text; json.loads() also reads other encodings.
        body.decode()
    except (
        AttributeError,
        KeyError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        return Err(SubmissionFailure(f"unreadable: {error!r}"[:MAX_REASON]))
    return check_job(job).map(lambda _: job)


class PlatformSubmissions(SubmissionCodec):
    """Decodes stored submissions."""

    def read_job(
        self, body: bytes
    ) -> Result[JobSpecification, SubmissionFailure]:
        """Return the job, or the reason why the submission is invalid."""
        return read_submission(body)


def _read_or_default(
    fields: dict[str, Any], name: str, default: float
) -> float:
    """Return a number; `default` for an absent one, null and 0."""
    return (0 if fields.get(name) is None else read_number(fields, name)) or (
        default
    )


def _read_queue(item: Any) -> Queue:
    if type(item) is not dict:
        raise MalformedFieldError("routes: an item is not an object")
    advice = read_object(item, "advice") if item.get("advice") else {}
    return Queue(
        name=read_text(item, "name"),
        host=read_text(item, "host"),
        prefix=read_text(item, "prefix"),
        service=read_text(item, "service", ""),
        priority=read_amount(item, "priority", 0),
        max_attempts=int(_read_or_default(item, "maxAttempts", 1)),
        stretch=_read_or_default(item, "stretch", 1.0),
        latency_objective_ms=int(_read_or_default(item, "targetLatencyMs", 0)),
        advice_seconds=read_number(advice, "validMs", 0.0) / 1000,
        # Any other value, such as the text "false", must not open the queue.
        public=item.get("public") is True,
    )


def _read_service(item: Any) -> Service:
    if type(item) is not dict:
        raise MalformedFieldError("services: an item is not an object")
    return Service(
        read_text(item, "name"),
        bool(item.get("enforcesCapacity")),
        bool(item.get("spare")),
    )


class _OrganisationError(ValueError):
    """An organisation is malformed; the message contains no values of it."""


def _read_amount(fields: dict[str, Any], name: str) -> int:
    value = fields.get(name)
    if value is None:
        return 0
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _OrganisationError(f"cap.{name} is not a number")
    if not math.isfinite(value) or value < 0:
        raise _OrganisationError(f"cap.{name} is out of range")
    # Rounded up, because 0 would mean that there is no limit.
    return math.ceil(value)


def _read_cap(item: dict[str, Any]) -> Cap:
    fields = item.get("cap")
    if fields is None:
        return Cap()
    if not isinstance(fields, dict):
        raise _OrganisationError("cap is not an object")
    return Cap(
        _read_amount(fields, "cpu"),
        _read_amount(fields, "memMb"),
        _read_amount(fields, "gpu"),
    )


def _read_weight(item: dict[str, Any]) -> float | None:
    """Return the weight, or None if it is malformed."""
    value = item.get("weight", 1)
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    try:
        weight = float(value)
    except OverflowError:
        return None
    return weight if 0 < weight < math.inf else None


def _read_texts(item: dict[str, Any], field: str) -> list[str]:
    texts = item.get(field)
    if texts is None:
        return []
    if not isinstance(texts, list) or not all(
        isinstance(text, str) for text in texts
    ):
        raise _OrganisationError(f"{field} is not a list of strings")
    return texts


def _read_key_digests(item: dict[str, Any]) -> frozenset[bytes]:
    # No request can carry an empty key.
    keys = [key for key in _read_texts(item, "apiKeys") if key]
    try:
        digests = {compute_key_digest(key.encode()) for key in keys}
    except UnicodeEncodeError:
        # The original error contains the key.
        raise _OrganisationError("a key is not valid text") from None
    try:
        digests |= {
            base64.b64decode(text, validate=True)
            for text in _read_texts(item, DIGESTS_FIELD)
        }
    except ValueError:
        raise _OrganisationError("a digest is not Base64") from None
    return frozenset(digests)


def _read_organisation(item: Any) -> Organisation:
    if not isinstance(item, dict):
        raise _OrganisationError("not an object")
    name = item.get("name")
    if not isinstance(name, str) or not name:
        raise _OrganisationError("no name")
    if not is_text(name):
        # It is the label of a metric.
        raise _OrganisationError("the name is not valid text")
    weight = _read_weight(item)
    return Organisation(
        name,
        DEFAULT_WEIGHT if weight is None else weight,
        _read_cap(item),
        _read_key_digests(item),
    )


class _OrganisationList:
    """The well-formed organisations of a configuration.

    `organisations` and `items` (their fields) are by name. `problems` says
    why others were left out or a value was not used.
    """

    def __init__(self, items: Any) -> None:
        self.organisations: dict[str, Organisation] = {}
        self.items: dict[str, dict[str, Any]] = {}
        self.problems: list[dict[str, Any]] = []
        if not isinstance(items, list):
            # Without organisations no key is accepted, which is safer than
            # to require none.
            self._add_problem(None, -1, "tenants is not a list")
            return
        for position, item in enumerate(items):
            try:
                self._add(item, position)
            except (_OrganisationError, OverflowError) as error:
                self._add_problem(item, position, f"left out: {error}")

    def _add(self, item: Any, position: int) -> None:
        organisation = _read_organisation(item)
        if organisation.name in self.organisations:
            raise _OrganisationError("the name is taken")
        if _read_weight(item) is None:
            self._add_problem(item, position, "malformed weight counts as 1")
        self.organisations[organisation.name] = organisation
        self.items[organisation.name] = item

    def _add_problem(self, item: Any, position: int, reason: str) -> None:
        name = item.get("name") if isinstance(item, dict) else None
        self.problems.append(
            {
                "position": position,
                "organisation": name if isinstance(name, str) else "",
                "reason": reason,
            }
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
                service.name: service
                for service in map(
                    _read_service, read_list(fields, "services", [])
                )
            }
            queues = tuple(map(_read_queue, read_list(fields, "routes")))
            version = read_whole(fields, "version")
        except MalformedFieldError as error:
            logger.error(
                "configuration is not usable", extra={"reason": str(error)}
            )
            return None
        organisations = None
        if fields.get("tenants") is not None:
            tenants = _OrganisationList(fields["tenants"])
            for problem in tenants.problems:
                logger.error("malformed organisation", extra=problem)
            organisations = tenants.organisations
        return FleetConfiguration(version, queues, services, organisations)

    def remove_keys(self, value: bytes) -> bytes:
        """Return an encoded configuration with digests instead of keys.

        Malformed organisations are left out. A configuration without
        organisations is returned unchanged. MalformedFieldError is raised for
        one that is nested almost too deeply to be decoded.
        """
        fields = parse_json_object(value)
        if fields is None or fields.get("tenants") is None:
            return value
        tenants = _OrganisationList(fields["tenants"])
        fields["tenants"] = [
            {
                **{k: v for k, v in item.items() if k != "apiKeys"},
                DIGESTS_FIELD: sorted(
                    base64.b64encode(digest).decode()
                    for digest in tenants.organisations[name].key_digests
                ),
            }
            for name, item in tenants.items.items()
        ]
        try:
            return json.dumps(fields, separators=(",", ":")).encode()
        except RecursionError:
            raise MalformedFieldError("nested too deeply") from None

    def read_wave(self, value: bytes) -> MaintenanceWave | None:
        """Return the wave, or None if it cannot be decoded."""
        fields = parse_json_object(value)
        if fields is None:
            return None
        try:
            return MaintenanceWave(
                read_whole(fields, "wave"),
                # Another value names no VM.
                tuple(filter(is_text, read_list(fields, "machines"))),
                read_number(fields, "durationS"),
                read_whole(fields, "cap"),
            )
        except MalformedFieldError:
            return None

    def read_worker(self, name: str, value: bytes) -> WorkerEntry | None:
        """Return the worker, or None if the entry is not usable."""
        try:
            return _read_worker(name, value)
        except MalformedFieldError:
            return None

    def explain_worker(self, name: str, value: bytes) -> str:
        """Return why an entry is not usable; empty if it is."""
        try:
            _read_worker(name, value)
        except MalformedFieldError as error:
            return str(error)
        return ""


def _read_worker(name: str, value: bytes) -> WorkerEntry:
    """Decode a worker's entry, or raise MalformedFieldError."""
    fields = parse_json_object(value)
    if fields is None:
        raise MalformedFieldError("not a JSON object")
    check_name(name)
    state = fields.get("state")
    if state not in ("ready", "draining"):
        raise MalformedFieldError("state: unknown or missing")
    capacity = read_object(fields, "capacity")
    labels = read_texts(fields, "labels")
    return WorkerEntry(
        name=name,
        born_ms=read_whole(fields, "born", 0, MAX_TIME_MS),
        service=read_text(fields, "service"),
        address=read_address(fields, "address"),
        zone=read_text(fields, "zone"),
        draining=state == "draining",
        millicores=read_amount(capacity, "cpu", 0),
        memory_mb=read_amount(capacity, "memMb", 0),
        accelerators=read_amount(capacity, "gpu", 0),
        labels=labels,
        rack=_find_rack(labels),
        vm=""
        if fields.get("machine") is None
        else read_text(fields, "machine"),
    )


def _find_rack(labels: tuple[str, ...]) -> str:
    # The first label is the kind, the second the rack.
    return labels[1] if len(labels) > 1 else ""
