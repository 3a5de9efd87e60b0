"""The variables of the model of drains."""

from dataclasses import dataclass

import z3

__all__ = [
    "ANNOUNCE",
    "ANNOUNCED_EARLY",
    "BUDGET",
    "BUDGET_EXCEEDED",
    "CANCEL",
    "CHOSEN",
    "COMMANDS",
    "DOWN",
    "DRAINING",
    "HEAD",
    "NO_COMMAND",
    "PHASES",
    "REBOOT",
    "REBOOTING",
    "REQUEST_CUT",
    "RETURNING",
    "SERVING",
    "Daemon",
    "Vm",
    "build_daemon",
    "build_vm",
]

PHASES = ("serving", "draining", "rebooting", "returning", "down")
SERVING, DRAINING, REBOOTING, RETURNING, DOWN = range(5)
NO_COMMAND, ANNOUNCE, REBOOT, CANCEL = range(4)
COMMANDS = {
    DRAINING: ANNOUNCE,
    REBOOTING: REBOOT,
    RETURNING: CANCEL,
    DOWN: CANCEL,
}

HEAD = z3.Int("head")  # newest revision in the log
BUDGET = z3.Int("budget")  # VMs of the pool that may be unavailable
BUDGET_EXCEEDED = z3.Bool("over")  # a planned stop exceeded the budget
REQUEST_CUT = z3.Bool("cut")  # a planned reboot cut off a request
# A drain was announced to its VM before all live daemons had learned of it.
ANNOUNCED_EARLY = z3.Bool("early")
CHOSEN = z3.Int("chosen")  # input: any budget


@dataclass(frozen=True)
class Vm:
    """The variables of one VM, in the log and on the platform.

    A token is the revision at which the commanded phase began.
    """

    phase: z3.ArithRef  # by the log, SERVING to DOWN
    revision: z3.ArithRef  # at which the phase began
    reboot_revision: z3.ArithRef  # at which its newest reboot began
    operation: z3.BoolRef  # in progress, or interrupted by an outage
    idle: z3.BoolRef  # whether it was seen idle in this phase
    leaving: z3.BoolRef  # whether the VM rejects new requests
    running: z3.ArithRef  # number of running requests
    token: z3.ArithRef  # highest token that the VM has received
    rebooted: z3.ArithRef  # token of its last reboot
    command: z3.ArithRef  # command in flight, or NO_COMMAND
    command_token: z3.ArithRef

    @property
    def variables(self) -> list[z3.ExprRef]:
        """All variables of the VM."""
        return list(vars(self).values())


@dataclass(frozen=True)
class Daemon:
    """The variables of one daemon: its view, and what it has reported."""

    live: z3.BoolRef  # whether other daemons count it as live
    view: z3.ArithRef  # revision of its view
    reported: z3.ArithRef  # revision that it has reported to the others
    budget: z3.ArithRef  # in its view
    phases: tuple[z3.ArithRef, ...]  # in its view, by VM
    revisions: tuple[z3.ArithRef, ...]  # of these phases, in its view

    @property
    def variables(self) -> list[z3.ExprRef]:
        """All variables of the daemon."""
        own = [self.live, self.view, self.reported, self.budget]
        return [*own, *self.phases, *self.revisions]


def build_vm(index: int) -> Vm:
    """Return the variables of the VM with that index."""

    def integer(name: str) -> z3.ArithRef:
        return z3.Int(f"{name}{index}")

    return Vm(
        integer("phase"),
        integer("revision"),
        integer("reboot_revision"),
        z3.Bool(f"operation{index}"),
        z3.Bool(f"idle{index}"),
        z3.Bool(f"leaving{index}"),
        integer("running"),
        integer("token"),
        integer("rebooted"),
        integer("command"),
        integer("command_token"),
    )


def build_daemon(index: int, vms: int) -> Daemon:
    """Return the variables of the daemon with that index, for `vms` VMs."""
    return Daemon(
        z3.Bool(f"live{index}"),
        z3.Int(f"view{index}"),
        z3.Int(f"reported{index}"),
        z3.Int(f"known_budget{index}"),
        tuple(z3.Int(f"known_phase{index}_{vm}") for vm in range(vms)),
        tuple(z3.Int(f"known_revision{index}_{vm}") for vm in range(vms)),
    )
