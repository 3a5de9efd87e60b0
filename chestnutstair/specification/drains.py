"""Model of draining one pool's VMs within its availability budget.

Daemons plan from their own view and append a record only if it gets the
revision that follows this view. A command may reach a VM late, twice or
never; its token is the revision at which the commanded phase began.
"""

import z3

from chestnutstair.specification.drain_invariants import (
    build_daemon_invariant,
    build_vm_invariant,
)
from chestnutstair.specification.drain_state import (
    ANNOUNCE,
    ANNOUNCED_EARLY,
    BUDGET,
    BUDGET_EXCEEDED,
    CHOSEN,
    COMMANDS,
    DOWN,
    DRAINING,
    HEAD,
    NO_COMMAND,
    PHASES,
    REBOOT,
    REBOOTING,
    REQUEST_CUT,
    RETURNING,
    SERVING,
    Daemon,
    build_daemon,
    build_vm,
)
from chestnutstair.specification.machine import (
    Machine,
    Step,
    Update,
    count_true,
)

__all__ = ["build_machine"]


def _count_unavailable(phases: list[z3.ArithRef]) -> z3.ArithRef:
    return count_true([phase != SERVING for phase in phases])


class _StepBuilder:
    """Builds the steps of all VMs and daemons."""

    def __init__(self, vms: int, daemons: int, keeps_leaving: bool) -> None:
        self.vms = [build_vm(index) for index in range(vms)]
        self.daemons = [build_daemon(index, vms) for index in range(daemons)]
        self.keeps_leaving = keeps_leaving
        self.unavailable = _count_unavailable([vm.phase for vm in self.vms])

    def _build_record(
        self, daemon: Daemon, index: int, phase: int, *extra_updates: Update
    ) -> list[Update]:
        """Return the updates of a record that moves a VM to a phase.

        They include the author's own view, as it applies its own record.
        """
        vm = self.vms[index]
        operation_lasts = z3.Or(vm.operation, z3.BoolVal(phase != DOWN))
        operation = z3.And(z3.BoolVal(phase != SERVING), operation_lasts)
        return [
            (vm.operation, operation),
            (HEAD, HEAD + 1),
            (vm.phase, z3.IntVal(phase)),
            (vm.revision, HEAD + 1),
            (vm.idle, z3.BoolVal(False)),
            (daemon.view, HEAD + 1),
            (daemon.phases[index], z3.IntVal(phase)),
            (daemon.revisions[index], HEAD + 1),
            *extra_updates,
        ]

    def list_planned_steps(self, number: int, index: int) -> list[Step]:
        """Return the steps in which a daemon records a planned operation."""
        daemon, vm = self.daemons[number], self.vms[index]
        name = f"{number} {index}"
        known_phase = daemon.phases[index]
        next_revision = {"next revision": daemon.view == HEAD}
        known_unavailable = _count_unavailable(list(daemon.phases))
        exceeded_by_drain = z3.Or(
            BUDGET_EXCEEDED, self.unavailable + 1 > BUDGET
        )
        exceeded_by_reboot = z3.Or(BUDGET_EXCEEDED, self.unavailable > BUDGET)
        return [
            Step(
                f"start drain {name}",
                {
                    **next_revision,
                    "known to serve": known_phase == SERVING,
                    "within the budget": known_unavailable + 1
                    <= daemon.budget,
                },
                self._build_record(
                    daemon,
                    index,
                    DRAINING,
                    (BUDGET_EXCEEDED, exceeded_by_drain),
                ),
            ),
            Step(
                f"record reboot {name}",
                {
                    **next_revision,
                    "known to drain": known_phase == DRAINING,
                    "seen idle": vm.idle,
                    "still within the budget": known_unavailable
                    <= daemon.budget,
                },
                self._build_record(
                    daemon,
                    index,
                    REBOOTING,
                    (BUDGET_EXCEEDED, exceeded_by_reboot),
                    (vm.reboot_revision, HEAD + 1),
                ),
            ),
            Step(
                f"undo {name}",
                {**next_revision, "known to drain": known_phase == DRAINING},
                self._build_record(daemon, index, RETURNING),
            ),
        ]

    def list_outcome_steps(self, number: int, index: int) -> list[Step]:
        """Return the steps in which a daemon records what it saw of a VM."""
        daemon, vm = self.daemons[number], self.vms[index]
        name = f"{number} {index}"
        known_phase = daemon.phases[index]
        next_revision = {"next revision": daemon.view == HEAD}
        return [
            Step(
                f"record reboot's end {name}",
                {
                    **next_revision,
                    "known to reboot": known_phase == REBOOTING,
                    "rebooted": vm.rebooted == daemon.revisions[index],
                },
                self._build_record(daemon, index, SERVING),
            ),
            Step(
                f"record recovery {name}",
                {
                    **next_revision,
                    "known to return": z3.Or(
                        known_phase == RETURNING, known_phase == DOWN
                    ),
                    "cancel delivered": z3.Or(
                        vm.token == daemon.revisions[index],
                        z3.Not(vm.operation),
                    ),
                },
                self._build_record(daemon, index, SERVING),
            ),
            Step(
                f"record outage {name}",
                {**next_revision, "known to be up": known_phase != DOWN},
                self._build_record(daemon, index, DOWN),
            ),
        ]

    def list_command_steps(self, number: int, index: int) -> list[Step]:
        """Return the steps in which a daemon sends a command to a VM."""
        daemon, vm = self.daemons[number], self.vms[index]
        revision = daemon.revisions[index]
        confirmed = [
            z3.Implies(item.live, item.reported >= revision)
            for item in self.daemons
        ]
        behind = [
            z3.And(item.live, item.view < revision) for item in self.daemons
        ]
        steps = []
        for phase, command in COMMANDS.items():
            guards = {
                "in the phase": daemon.phases[index] == phase,
                "one command": vm.command == NO_COMMAND,
            }
            updates: list[Update] = [
                (vm.command, z3.IntVal(command)),
                (vm.command_token, revision),
            ]
            if command == ANNOUNCE:
                guards["confirmed by all live"] = z3.And(confirmed)
                updates.append(
                    (ANNOUNCED_EARLY, z3.Or(ANNOUNCED_EARLY, *behind))
                )
            name = f"command {PHASES[phase]} {number} {index}"
            steps.append(Step(name, guards, updates))
        return steps

    def list_daemon_steps(self, number: int) -> list[Step]:
        """Return the steps in which a daemon learns, reports or is cut off."""
        daemon = self.daemons[number]
        learned: list[Update] = [(daemon.view, HEAD), (daemon.budget, BUDGET)]
        for index, vm in enumerate(self.vms):
            learned.append((daemon.phases[index], vm.phase))
            learned.append((daemon.revisions[index], vm.revision))
        return [
            Step(f"learn {number}", {}, learned),
            Step(f"report {number}", {}, [(daemon.reported, daemon.view)]),
            Step(f"cut off {number}", {}, [(daemon.live, z3.BoolVal(False))]),
            Step(f"reconnect {number}", {}, [(daemon.live, z3.BoolVal(True))]),
        ]

    def list_vm_steps(self, index: int) -> list[Step]:
        """Return the steps of a VM and of the command in flight to it."""
        vm = self.vms[index]
        reboots = vm.command == REBOOT
        leaving = vm.command == ANNOUNCE
        routed = [item.phases[index] == SERVING for item in self.daemons]
        return [
            Step(
                f"deliver {index}",
                {
                    "sent": vm.command != NO_COMMAND,
                    "token not lower": vm.command_token >= vm.token,
                    "once per operation": z3.Implies(
                        reboots, vm.command_token != vm.rebooted
                    ),
                },
                [
                    (vm.token, vm.command_token),
                    (vm.leaving, leaving),
                    (vm.running, z3.If(reboots, 0, vm.running)),
                    (
                        vm.rebooted,
                        z3.If(reboots, vm.command_token, vm.rebooted),
                    ),
                    (
                        REQUEST_CUT,
                        z3.Or(REQUEST_CUT, z3.And(reboots, vm.running > 0)),
                    ),
                ],
            ),
            Step(f"drop {index}", {}, [(vm.command, z3.IntVal(NO_COMMAND))]),
            Step(
                f"request {index}",
                {
                    "routed": z3.Or(routed),
                    "VM accepts requests": z3.Not(vm.leaving),
                },
                [(vm.running, vm.running + 1)],
            ),
            Step(
                f"finish {index}",
                {"running": vm.running > 0},
                [(vm.running, vm.running - 1)],
            ),
            Step(
                f"fail {index}",
                {},
                [
                    (vm.running, z3.IntVal(0)),
                    (vm.leaving, z3.And(vm.leaving, self.keeps_leaving)),
                ],
            ),
            Step(
                f"see idle {index}",
                {
                    "nothing runs": vm.running == 0,
                    "announced": vm.token == vm.revision,
                    "drains": vm.phase == DRAINING,
                },
                [(vm.idle, z3.BoolVal(True))],
            ),
        ]

    def list_steps(self) -> list[Step]:
        """Return all steps of the machine."""
        budget = Step(
            "ticket",
            {"a count": CHOSEN >= 0},
            [(HEAD, HEAD + 1), (BUDGET, CHOSEN)],
        )
        steps = [budget]
        for index in range(len(self.vms)):
            steps += self.list_vm_steps(index)
        for number in range(len(self.daemons)):
            steps += self.list_daemon_steps(number)
            for index in range(len(self.vms)):
                steps += self.list_planned_steps(number, index)
                steps += self.list_outcome_steps(number, index)
                steps += self.list_command_steps(number, index)
        return steps


def build_machine(
    vms: int, daemons: int = 2, keeps_leaving: bool = True
) -> Machine:
    """Return the machine with that many VMs and daemons.

    Without `keeps_leaving`, a VM that fails accepts requests again even
    if its drain had been announced.
    """
    builder = _StepBuilder(vms, daemons, keeps_leaving)
    variables = [HEAD, BUDGET, BUDGET_EXCEEDED, REQUEST_CUT, ANNOUNCED_EARLY]
    initial = [HEAD == 0, BUDGET >= 0]
    initial += [
        z3.Not(flag)
        for flag in (BUDGET_EXCEEDED, REQUEST_CUT, ANNOUNCED_EARLY)
    ]
    for vm in builder.vms:
        variables += vm.variables
        initial += [
            z3.Not(item) for item in (vm.operation, vm.idle, vm.leaving)
        ]
        initial += [item == 0 for item in vm.variables if z3.is_int(item)]
    for daemon in builder.daemons:
        variables += daemon.variables
        initial += [daemon.live, daemon.budget == BUDGET]
        numbers = (*daemon.phases, *daemon.revisions)
        initial += [item == 0 for item in numbers]
        initial += [daemon.view == 0, daemon.reported == 0]
    return Machine(
        variables,
        initial,
        builder.list_steps(),
        {
            "planned stops keep the budget": z3.Not(BUDGET_EXCEEDED),
            "planned stops cut no request": z3.Not(REQUEST_CUT),
            "announced after all live daemons know": z3.Not(ANNOUNCED_EARLY),
            "a serving VM accepts requests": z3.And(
                [
                    z3.Implies(vm.phase == SERVING, z3.Not(vm.leaving))
                    for vm in builder.vms
                ]
            ),
        },
        {
            **{
                f"VM {index}": build_vm_invariant(
                    builder.vms, builder.daemons, index
                )
                for index in range(vms)
            },
            **{
                f"daemon {number}": build_daemon_invariant(builder.vms, daemon)
                for number, daemon in enumerate(builder.daemons)
            },
        },
        [CHOSEN],
    )
