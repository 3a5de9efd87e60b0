"""Job intake: the rows that submit and cancel jobs, and their storage."""

from chestnutstair.scheduling.intake.layout import (
    DEFAULT_LAYOUT,
    INTAKE_PARTITION,
    INTAKE_TABLE,
    IntakeLayout,
)
from chestnutstair.scheduling.intake.reader import (
    IntakeReader,
    IntakeTable,
)
from chestnutstair.scheduling.intake.rows import (
    MalformedRowFailure,
    build_cancel_key,
    build_job_key,
    decode_cancellation,
    decode_submission,
    encode_submission,
    is_cancellation,
    parse_job_name,
)
from chestnutstair.scheduling.intake.storage import (
    IntakeStorage,
    IntakeWrite,
)

__all__ = [
    "DEFAULT_LAYOUT",
    "INTAKE_PARTITION",
    "INTAKE_TABLE",
    "IntakeLayout",
    "IntakeReader",
    "IntakeStorage",
    "IntakeTable",
    "IntakeWrite",
    "MalformedRowFailure",
    "build_cancel_key",
    "build_job_key",
    "decode_cancellation",
    "decode_submission",
    "encode_submission",
    "is_cancellation",
    "parse_job_name",
]
