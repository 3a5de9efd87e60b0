"""The inductive invariant of the model of drains."""

from collections.abc import Sequence

import z3

from chestnutstair.specification.drain_state import (
    ANNOUNCE,
    BUDGET,
    CANCEL,
    COMMANDS,
    DOWN,
    DRAINING,
    HEAD,
    NO_COMMAND,
    REBOOT,
    REBOOTING,
    RETURNING,
    SERVING,
    Daemon,
    Vm,
)
from chestnutstair.specification.machine import implies_all

__all__ = ["build_daemon_invariant", "build_vm_invariant"]


def build_daemon_invariant(vms: Sequence[Vm], daemon: Daemon) -> z3.BoolRef:
    """Return the invariant of one daemon's view."""
    same = [daemon.budget == BUDGET]
    for index, vm in enumerate(vms):
        same.append(daemon.phases[index] == vm.phase)
        same.append(daemon.revisions[index] == vm.revision)
    return z3.And(
        daemon.view <= HEAD,
        daemon.reported <= daemon.view,
        z3.Implies(daemon.view == HEAD, z3.And(same)),
        *(revision <= daemon.view for revision in daemon.revisions),
        *(revision >= 0 for revision in daemon.revisions),
        *(phase >= SERVING for phase in daemon.phases),
        *(phase <= DOWN for phase in daemon.phases),
    )


def build_vm_invariant(
    vms: Sequence[Vm], daemons: Sequence[Daemon], index: int
) -> z3.BoolRef:
    """Return the invariant of one VM and of the commands to it."""
    vm = vms[index]
    reboot_pending = _is_reboot_pending(vm)
    commands = [(vm.command, vm.command_token)]
    commands += [
        (_choose_command(daemon.phases[index]), daemon.revisions[index])
        for daemon in daemons
    ]
    return z3.And(
        vm.phase >= SERVING,
        vm.phase <= DOWN,
        vm.running >= 0,
        vm.token <= vm.revision,
        vm.token >= 0,
        vm.revision >= 0,
        vm.revision <= HEAD,
        vm.rebooted >= 0,
        vm.reboot_revision >= 0,
        vm.command >= NO_COMMAND,
        vm.command <= CANCEL,
        z3.Or(
            vm.phase == REBOOTING,
            vm.reboot_revision < vm.revision,
            vm.reboot_revision == 0,
        ),
        vm.rebooted <= vm.token,
        vm.rebooted <= vm.reboot_revision,
        vm.reboot_revision <= vm.revision,
        implies_all(vm.phase == REBOOTING, vm.reboot_revision == vm.revision),
        z3.Implies(
            z3.And(vm.phase == REBOOTING, vm.token == vm.revision),
            vm.rebooted == vm.revision,
        ),
        implies_all(
            vm.idle,
            vm.phase == DRAINING,
            vm.token == vm.revision,
        ),
        implies_all(
            z3.And(vm.token == vm.revision, vm.phase == DRAINING),
            vm.leaving,
        ),
        implies_all(vm.idle, vm.running == 0),
        implies_all(
            z3.And(
                vm.token == vm.revision,
                z3.Or(vm.phase == RETURNING, vm.phase == DOWN),
            ),
            z3.Not(vm.leaving),
        ),
        implies_all(
            vm.rebooted == vm.token,
            z3.Or(z3.Not(vm.leaving), vm.token == 0),
        ),
        implies_all(reboot_pending, vm.leaving, vm.running == 0),
        implies_all(
            z3.And(vm.phase == REBOOTING, vm.rebooted != vm.revision),
            reboot_pending,
        ),
        z3.Implies(vm.phase != SERVING, vm.revision > 0),
        z3.Implies(vm.phase == SERVING, z3.Not(vm.operation)),
        z3.Or(vm.phase == SERVING, vm.phase == DOWN, vm.operation),
        z3.Or(vm.operation, z3.Not(vm.leaving)),
        z3.Or(vm.operation, z3.Not(reboot_pending)),
        *(_build_command_invariant(vm, *command) for command in commands),
        *(
            _require_same_command(*one, *other)
            for number, one in enumerate(commands)
            for other in commands[:number]
        ),
    )


def _is_reboot_pending(vm: Vm) -> z3.BoolRef:
    """Return the formula: the newest reboot may still be delivered."""
    return z3.And(
        vm.reboot_revision > 0,
        vm.reboot_revision >= vm.token,
        vm.rebooted != vm.reboot_revision,
    )


def _choose_command(phase: z3.ArithRef) -> z3.ArithRef:
    """Return the command that a daemon sends for a phase."""
    command = z3.IntVal(NO_COMMAND)
    for commanded_phase, value in COMMANDS.items():
        command = z3.If(phase == commanded_phase, value, command)
    return command


def _require_same_command(
    one: z3.ArithRef,
    one_token: z3.ArithRef,
    other: z3.ArithRef,
    other_token: z3.ArithRef,
) -> z3.BoolRef:
    """Return the formula: commands with the same token are the same."""
    sent = z3.And(one != NO_COMMAND, other != NO_COMMAND)
    return z3.Implies(z3.And(sent, one_token == other_token), one == other)


def _build_command_invariant(
    vm: Vm, command: z3.ArithRef, token: z3.ArithRef
) -> z3.BoolRef:
    """Return the invariant of a command in flight, or still to be sent."""
    settled = z3.Or(z3.Not(vm.operation), vm.phase == DRAINING)
    older = z3.And(command != NO_COMMAND, token < vm.revision)
    valid = token >= vm.token
    return z3.Implies(
        command != NO_COMMAND,
        z3.And(
            token > 0,
            token <= vm.revision,
            z3.Implies(
                token == vm.revision, command == _choose_command(vm.phase)
            ),
            implies_all(
                command == REBOOT,
                token <= vm.reboot_revision,
                z3.Implies(token < vm.reboot_revision, token < vm.token),
            ),
            z3.Implies(token == vm.reboot_revision, command == REBOOT),
            z3.Implies(
                z3.And(command == CANCEL, _is_reboot_pending(vm), valid),
                token > vm.reboot_revision,
            ),
            z3.Implies(
                z3.And(command == CANCEL, valid, token == vm.token),
                z3.Not(vm.leaving),
            ),
            z3.Implies(
                z3.And(command == ANNOUNCE, valid, token == vm.token),
                vm.leaving,
            ),
            z3.Implies(
                z3.And(older, settled, valid),
                z3.Or(
                    command == CANCEL,
                    z3.And(
                        command == REBOOT,
                        token == vm.token,
                        vm.rebooted == token,
                    ),
                ),
            ),
        ),
    )
