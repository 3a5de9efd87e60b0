"""Tests of the command-line client against a fake daemon."""

import json
import tempfile
import unittest
from http import HTTPStatus
from pathlib import Path
from typing import Any

from typer.testing import CliRunner

from chestnutstair.cli import app
from chestnutstair.commands.exitcode import ExitCode
from chestnutstair.protocol.operators import (
    AuditPage,
    Difference,
    DrainReport,
    ErrorAnswer,
    JobReport,
    LaggingVm,
    PauseReceipt,
    PoolReport,
    RefusalReport,
    TicketReceipt,
    TicketReport,
    VmReport,
)
from chestnutstair.standins.webserver import (
    Answer,
    Application,
    Request,
    WebServer,
    WebServerSettings,
    answer_json,
    break_connection,
)
from chestnutstair.state.change import ChangeRecord, TicketChange
from chestnutstair.state.codec import decode_json, encode_json
from chestnutstair.state.ticket import Ticket
from chestnutstair.state.view import VmPhase, VmStatus
from chestnutstair.tests.support import build_ticket

TICKET = build_ticket()
LAGGING = LaggingVm("entry-3", "zone-2", 4, "cut off", 1e9)
REPORT = TicketReport(
    1, "ana", "more boxes", 5, 1e9, True, ("entry-0",), (), ()
)


class FakeDaemon(Application):
    """Gives one answer per call in order, then repeats the last one."""

    def __init__(self, *answers: Answer | None) -> None:
        self.answers = list(answers)
        self.requests: list[Request] = []
        self.server = WebServer(self, 0, WebServerSettings(threads=2))
        self.server.start()

    def answer(self, request: Request) -> Answer:
        """Return the next answer; break the connection if it is None."""
        self.requests.append(request)
        index = min(len(self.requests), len(self.answers)) - 1
        answer = self.answers[index]
        if answer is None:
            break_connection()
        assert answer is not None
        return answer


def build_refusal(status: HTTPStatus, error: str, hint: str = "") -> Answer:
    """Return the answer of a daemon that refuses a call."""
    answer = ErrorAnswer(error, {"expected": 7}, hint)
    headers = {"Retry-After": "3"}
    return Answer(status, encode_json(answer), headers)


class CliTest(unittest.TestCase):
    """Base class that starts fake daemons and stops them after each test."""

    def build_daemon(self, *answers: Answer | None) -> FakeDaemon:
        daemon = FakeDaemon(*answers)
        self.addCleanup(daemon.server.stop)
        return daemon

    def run_at(
        self, daemons: list[FakeDaemon], *arguments: str, text: str = ""
    ) -> Any:
        options = []
        for daemon in daemons:
            options += ["--address", daemon.server.address]
        return CliRunner().invoke(app, [*options, *arguments], input=text)

    def run_with(
        self, answer: Answer | None, *arguments: str, text: str = ""
    ) -> Any:
        return self.run_at([self.build_daemon(answer)], *arguments, text=text)

    def assert_code(self, result: Any, code: ExitCode) -> None:
        self.assertEqual(result.exit_code, code, result.output)


class TicketCommandTest(CliTest):
    """Tickets are filed, previewed and waited for."""

    def test_files_a_ticket(self) -> None:
        receipt = TicketReceipt(1, 5, False)
        daemon = self.build_daemon(answer_json(receipt, HTTPStatus.CREATED))
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory, "ticket.json")
            path.write_bytes(encode_json(TICKET))
            result = self.run_at([daemon], "ticket", "file", str(path))
        self.assert_code(result, ExitCode.DONE)
        self.assertIn("ticket 1 accepted, revision 5", result.stdout)
        sent = daemon.requests[0]
        self.assertEqual(sent.path, ("api", "v1", "tickets"))
        self.assertEqual(decode_json(Ticket, sent.body).ok(), TICKET)

    def test_rejects_an_invalid_ticket_before_sending(self) -> None:
        daemon = self.build_daemon(answer_json({}))
        text = '{"number": 0, "author": "ana", "pool": []}'
        result = self.run_at([daemon], "ticket", "file", "-", text=text)
        self.assert_code(result, ExitCode.REFUSED)
        self.assertIn("number: ", result.stderr)
        self.assertIn("pool: ", result.stderr)
        self.assertEqual(daemon.requests, [])

    def test_previews_a_ticket(self) -> None:
        before = {"pool": "quotes", "zone": "zone-1"}
        differences = [
            Difference("vms.quotes-3", before, {**before, "pool": "boxes"}),
            Difference("vms.quotes-4", None, before),
        ]
        daemon = self.build_daemon(answer_json(differences))
        text = encode_json(TICKET).decode()
        result = self.run_at(
            [daemon], "ticket", "file", "--dry-run", text=text
        )
        self.assert_code(result, ExitCode.DONE)
        changed = r'vms.quotes-3 +{"pool": "quotes"} +{"pool": "boxes"} *\n'
        self.assertRegex(result.stdout, changed)
        self.assertRegex(result.stdout, r'vms.quotes-4 +- +{"pool": "quotes"')
        self.assertEqual(daemon.requests[0].query, {"dry_run": "1"})

    def test_waits_until_the_ticket_is_in_force(self) -> None:
        pending = TicketReport(
            1, "ana", "", 5, 1e9, False, (), (LAGGING,), ("quotes-1",)
        )
        daemon = self.build_daemon(
            build_refusal(HTTPStatus.NOT_FOUND, "UnknownTicketFailure"),
            answer_json(pending),
            answer_json(REPORT),
        )
        result = self.run_at([daemon], "ticket", "wait", "1")
        self.assert_code(result, ExitCode.DONE)
        self.assertEqual(len(daemon.requests), 3)
        overdue = self.run_with(
            answer_json(pending), "ticket", "wait", "1", "--timeout", "0.1"
        )
        self.assert_code(overdue, ExitCode.NOT_IN_FORCE)
        self.assertIn("entry-3 in zone-2: cut off", overdue.stderr)


class FailureTest(CliTest):
    """Each failure has its exit code and a hint on what to do next."""

    def test_tries_the_next_address(self) -> None:
        good = self.build_daemon(answer_json([REPORT]))
        dead = self.build_daemon(None)
        busy = self.build_daemon(
            build_refusal(HTTPStatus.SERVICE_UNAVAILABLE, "UnavailableFailure")
        )
        stopped = self.build_daemon(None)
        stopped.server.stop()
        daemons = [stopped, dead, busy, good]
        result = self.run_at(daemons, "ticket", "list")
        self.assert_code(result, ExitCode.DONE)
        self.assertIn("more boxes", result.stdout)

    def test_prefers_an_unknown_outcome_to_a_refusal(self) -> None:
        dead = self.build_daemon(None)
        busy = self.build_daemon(
            build_refusal(HTTPStatus.SERVICE_UNAVAILABLE, "UnavailableFailure")
        )
        for daemons in ([dead, busy], [busy, dead]):
            result = self.run_at(daemons, "pause", "--author", "ana")
            self.assert_code(result, ExitCode.UNKNOWN_OUTCOME)
        self.assertEqual(json.loads(busy.requests[0].body)["author"], "ana")
        result = self.run_with(answer_json(PauseReceipt(9, True)), "pause")
        self.assertIn("moves: stopped, revision 9", result.stdout)

    def test_explains_refusals(self) -> None:
        cases = {
            HTTPStatus.BAD_REQUEST: ExitCode.REFUSED,
            HTTPStatus.NOT_FOUND: ExitCode.NOT_FOUND,
            HTTPStatus.CONFLICT: ExitCode.CONFLICT,
            HTTPStatus.SERVICE_UNAVAILABLE: ExitCode.UNAVAILABLE,
            HTTPStatus.INTERNAL_SERVER_ERROR: ExitCode.UNKNOWN_OUTCOME,
        }
        for status, code in cases.items():
            refusal = build_refusal(status, "SomeFailure", "do this")
            result = self.run_with(refusal, "ticket", "show", "1")
            self.assert_code(result, code)
            expected = "error: SomeFailure\n  expected: 7\nnext: do this\n"
            self.assertEqual(result.stderr, expected)

    def test_prints_when_to_try_again(self) -> None:
        refusal = build_refusal(HTTPStatus.SERVICE_UNAVAILABLE, "Busy")
        result = self.run_with(refusal, "--output", "json", "status")
        self.assertIn("in 3 s", json.loads(result.stderr)["hint"])

    def test_reports_an_unreadable_answer(self) -> None:
        for answer in (
            Answer(HTTPStatus.OK, b"<html>"),
            Answer(HTTPStatus.NOT_FOUND, b"<html>"),
        ):
            result = self.run_with(answer, "pool", "list")
            self.assert_code(result, ExitCode.UNREADABLE)

    def test_requires_an_address(self) -> None:
        self.assert_code(self.run_at([], "pool", "list"), ExitCode.USAGE)

    def test_help_names_every_exit_code(self) -> None:
        text = CliRunner().invoke(app, ["--help"]).stdout
        for code in ExitCode:
            self.assertRegex(text, rf"(?m)^ *{code.value}: \w")


class ListCommandTest(CliTest):
    """Lists are printed as tables and as JSON."""

    def test_prints_each_list(self) -> None:
        vm = TICKET.vms[0]
        status = VmStatus("quotes", VmPhase.DRAINING, "op-1", 1e9)
        pools = [PoolReport(TICKET.pools[0], 8, 1, 1)]
        job = JobReport(TICKET.jobs[0], {"running": 3}, "no room")
        record = ChangeRecord(5, "id", "ana", 1e9, TicketChange(TICKET))
        cases: list[tuple[str, Any, str]] = [
            ("pool", pools, r"quotes +runners +quotes +8 +7 +64 +no"),
            ("budget", pools, r"quotes +8 +2 +1 +1"),
            ("vm", [VmReport(vm, status)], r"quotes-0 .* draining +never"),
            ("drain", [DrainReport("quotes-0", status)], r"op-1 +2001-09-09"),
            ("job", [job], r"build .* 3 running +no room"),
            ("audit", AuditPage((record,), 5), r"5 .* ana +ticket"),
        ]
        for group, value, pattern in cases:
            answer = answer_json(value)
            result = self.run_with(answer, group, "list")
            self.assert_code(result, ExitCode.DONE)
            self.assertRegex(result.stdout, pattern)
            result = self.run_with(answer, "--output", "json", group, "list")
            printed = json.loads(result.stdout)
            self.assertEqual(printed, json.loads(answer.body))

    def test_lists_refused_tickets(self) -> None:
        refusal = RefusalReport(7, "bo", "TicketNumberFailure", "", 1e9)
        result = self.run_with(answer_json([refusal]), "audit", "refusals")
        self.assertRegex(result.stdout, r"7 +2001-09-09 .* bo +TicketNumber")

    def test_lists_the_vms_of_one_pool(self) -> None:
        reports = [
            VmReport(vm, VmStatus(vm.pool))
            for vm in (TICKET.vms[0], TICKET.vms[-1])
        ]
        result = self.run_with(
            answer_json(reports), "vm", "list", "--pool", "boxes"
        )
        self.assertIn("boxes-7", result.stdout)
        self.assertNotIn("quotes-0", result.stdout)
