"""The exit codes of the client; docs/cli.md explains each."""

from enum import IntEnum

__all__ = ["EXIT_CODE_HELP", "ExitCode"]


class ExitCode(IntEnum):
    """The outcome of a command."""

    DONE = 0
    INTERNAL_ERROR = 1
    USAGE = 2
    REFUSED = 3
    NOT_FOUND = 4
    CONFLICT = 5
    UNAVAILABLE = 6
    UNREACHABLE = 7
    UNKNOWN_OUTCOME = 8
    NOT_IN_FORCE = 9
    UNREADABLE = 10


_MEANINGS = {
    ExitCode.DONE: "done",
    ExitCode.INTERNAL_ERROR: (
        "an internal error of the client, or no line found by `logs job`"
    ),
    ExitCode.USAGE: "wrong options or arguments, or an unreadable file",
    ExitCode.REFUSED: "refused as invalid; nothing changed",
    ExitCode.NOT_FOUND: "not found",
    ExitCode.CONFLICT: "refused because of a conflicting change",
    ExitCode.UNAVAILABLE: "the daemons cannot serve the call now; try again",
    ExitCode.UNREACHABLE: "no address could be reached; nothing was sent",
    ExitCode.UNKNOWN_OUTCOME: (
        "no answer or a server error; the call may have taken effect"
    ),
    ExitCode.NOT_IN_FORCE: (
        "the ticket was not in force everywhere when `ticket wait` ended"
    ),
    ExitCode.UNREADABLE: "the client could not decode an answer",
}

EXIT_CODE_HELP = "Exit codes:\n\n" + "\n\n".join(
    f"{code.value}: {meaning}" for code, meaning in _MEANINGS.items()
)
