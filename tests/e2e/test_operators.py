"""End-to-end tests of the operator CLI and the client library against six VM processes."""

import json
import signal
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from pathlib import Path

import pytest
import urllib3
from click.testing import CliRunner, Result

from entry_processes import AuthorityProcesses
from mangosaddle.cli import ExitCode, main
from mangosaddle.client import Client, RefusedError
from mangosaddle.demo import OPERATOR_TOKEN, PEER_SECRET, wait_for
from mangosaddle.standins import free_port

CONFIGURATION_TIMEOUT_S = 4.0
ROLLBACK_TIMEOUT_S = 30.0
"""Time in which the test's load, 1% to 5% of it on the new version, causes enough failures."""
QUESTION = [{"role": "user", "content": "How far does the tower clock drift?"}]


@dataclass(frozen=True)
class OperatorCli:
    """Runs CLI commands against one VM."""

    processes: AuthorityProcesses
    vm: str

    def run(self, *arguments: str) -> Result:
        """Run a command with the environment of an operator's shell."""
        environment = {
            "MANGOSADDLE_URL": self.processes.url(self.vm),
            "MANGOSADDLE_OPERATOR_TOKEN": OPERATOR_TOKEN,
        }
        return CliRunner().invoke(main, list(arguments), env=environment)

    def expect(self, code: ExitCode, *arguments: str) -> str:
        """Run a command, check its exit code and return its output."""
        result = self.run(*arguments)
        assert result.exit_code == code, (arguments, result.output, result.exception)
        return result.output

    def save_document(self, document: str, path: Path) -> str:
        """Write the current document to a file and return its text."""
        path.write_text(self.expect(ExitCode.OK, document, "show", "--toml"))
        return path.read_text()


def test_documents_can_be_edited_at_any_vm(processes: AuthorityProcesses, tmp_path: Path) -> None:
    """Guards against differences between the CLI and the admin API in handling edits."""
    first, second = OperatorCli(processes, "addis-1"), OperatorCli(processes, "mekele-2")
    first_file, second_file = tmp_path / "inventory.toml", tmp_path / "theirs.toml"
    text = first.save_document("inventory", first_file)
    second.save_document("inventory", second_file)
    assert "no differences" in first.expect(ExitCode.OK, "inventory", "diff", str(first_file))
    first_file.write_text(text.replace("capacity = 16", "capacity = 15"))
    first.expect(ExitCode.OK, "inventory", "check", str(first_file))
    assert "runner-1" in first.expect(ExitCode.OK, "inventory", "diff", str(first_file))
    assert "accepted as revision" in first.expect(
        ExitCode.OK, "inventory", "apply", str(first_file)
    )
    wait_for(
        lambda: "capacity = 15" in second.run("inventory", "show", "--toml").output,
        "the other VM applies the edit",
        CONFIGURATION_TIMEOUT_S,
    )
    # The second operator's file is based on the previous revision.
    second_file.write_text(second_file.read_text().replace("capacity = 16", "capacity = 14"))
    second.expect(ExitCode.CONFLICT, "inventory", "apply", str(second_file))
    assert "capacity = 15" in second.expect(ExitCode.OK, "inventory", "show", "--toml")

    rules = tmp_path / "rules.toml"
    good = second.save_document("rules", rules)
    rules.write_text(
        good.replace('"gondar"', '"nowhere"').replace(
            "rate_tokens_per_s = 800", "rate_tokens_per_s = -1"
        )
    )
    refused = second.expect(ExitCode.FINDINGS, "rules", "apply", str(rules))
    assert "nowhere" in refused
    assert "rate_tokens_per_s" in refused
    assert second.expect(ExitCode.OK, "rules", "show", "--toml") == good
    rules.write_text(good.replace("rate_tokens_per_s = 800", "rate_tokens_per_s = 900"))
    second.expect(ExitCode.OK, "rules", "apply", str(rules))

    versions = json.loads(second.expect(ExitCode.OK, "versions", "status", "--json"))
    assert [row["model"] for row in versions["versions"]] == ["advisor"]
    revision = json.loads(second.expect(ExitCode.OK, "rules", "show", "--json"))["revision"]
    wait_for(
        lambda: json.loads(first.run("status", "--json").output)["revision"] == revision,
        "the status reports the new revision",
        CONFIGURATION_TIMEOUT_S,
    )
    status = json.loads(first.expect(ExitCode.OK, "status", "--json"))
    assert [vm["state"] for vm in status["vms"]] == ["live"] * 6


def test_a_bad_version_is_rolled_back(processes: AuthorityProcesses, tmp_path: Path) -> None:
    """Guards against a rollback that the CLI does not report in its output and exit code."""
    operator = OperatorCli(processes, "gondar-2")
    for engine in processes.standins.engines_by_id.values():
        engine.faults.failing_versions = {"advisor@v2"}
    rules = tmp_path / "rules.toml"
    plan = operator.save_document("rules", rules)
    start = datetime.now(UTC) - timedelta(minutes=1)
    end = start + timedelta(hours=1)
    unchanged_rules = plan[: plan.index("[[rollouts]]")]
    rules.write_text(
        f'{unchanged_rules}[[rollouts]]\nmodel = "advisor"\nold = "v1"\nnew = "v2"\n'
        f"start = {start.isoformat()}\ndeadline = {end.isoformat()}\n"
        f"steps = [{{ at = {start.isoformat()}, share = 0.5 }}, "
        f"{{ at = {end.isoformat()}, share = 1.0 }}]\n"
    )
    operator.expect(ExitCode.OK, "rules", "apply", str(rules))
    key = processes.standins.key_of("tower-trust")
    vms = sorted(processes.processes_by_vm)

    def is_rolled_back() -> bool:
        with ThreadPoolExecutor(len(vms)) as pool:
            list(pool.map(lambda vm: _stream_chat(processes, vm, key), vms * 5))
        return "taken-back" in operator.expect(ExitCode.OK, "versions", "status")

    wait_for(is_rolled_back, "the version is rolled back", ROLLBACK_TIMEOUT_S)
    output = operator.expect(ExitCode.FINDINGS, "versions", "wait", "advisor")
    assert "rolled back" in output


def _stream_chat(processes: AuthorityProcesses, vm: str, key: str) -> str:
    with Client([processes.url(vm)], key, deadline_s=5.0) as client:
        return "".join(client.stream_chat(QUESTION, "advisor", {"max_tokens": 3}))


def _is_accepted(processes: AuthorityProcesses, vm: str, key: str) -> Callable[[], bool]:
    def attempt() -> bool:
        try:
            return bool(_stream_chat(processes, vm, key))
        except RefusedError:
            return False

    return attempt


def test_keys_are_granted_used_and_withdrawn(processes: AuthorityProcesses, tmp_path: Path) -> None:
    """Guards against keys that work after withdrawal, wrong exit codes and keys in logs."""
    operator = OperatorCli(processes, "gondar-1")
    operator.expect(ExitCode.FINDINGS, "keys", "grant", "nobody")
    granted = [
        json.loads(operator.expect(ExitCode.OK, "keys", "grant", "tower-trust", "--json"))
        for _ in range(2)
    ]
    key, other = (row["key"] for row in granted)
    key_id, other_id = (row["key_id"] for row in granted)
    wrong = key[:-8] + "00000000"
    for text in (key, other):
        wait_for(
            _is_accepted(processes, "mekele-1", text),
            "the key is accepted",
            CONFIGURATION_TIMEOUT_S,
        )
    with pytest.raises(RefusedError):
        _stream_chat(processes, "mekele-1", wrong)

    withdrawn = json.loads(operator.expect(ExitCode.OK, "keys", "withdraw", key_id, "--json"))
    assert sorted(withdrawn["confirmed"]) == sorted(processes.processes_by_vm)
    for vm in processes.processes_by_vm:
        with pytest.raises(RefusedError):
            _stream_chat(processes, vm, key)
    operator.expect(ExitCode.FINDINGS, "keys", "withdraw", "ffffffffffffffff")

    processes.signal("addis-2", signal.SIGSTOP)
    report = operator.expect(
        ExitCode.TIMEOUT, "keys", "withdraw", other_id, "--timeout", "1", "--json"
    )
    assert "addis-2" in report
    status = json.loads(operator.expect(ExitCode.OK, "status", "--json"))
    assert status["unconfirmed_withdrawals"] == [{"key_id": other_id, "unconfirmed": ["addis-2"]}]
    processes.signal("addis-2", signal.SIGCONT)
    operator.expect(ExitCode.OK, "keys", "withdraw", other_id)
    status = json.loads(operator.expect(ExitCode.OK, "status", "--json"))
    assert status["unconfirmed_withdrawals"] == []
    with pytest.raises(RefusedError):
        _stream_chat(processes, "addis-2", other)

    closed_url = f"http://127.0.0.1:{free_port('127.0.0.1')}"
    operator.expect(ExitCode.UNREACHABLE, "status", "--url", closed_url)
    operator.expect(ExitCode.FINDINGS, "status", "--operator-token", "wrong")

    _send_malformed_requests(processes, (key, other, wrong))
    secrets = [text.rsplit("_", 1)[1] for text in (key, other, wrong)]
    secrets += [processes.standins.key_of("tower-trust").rsplit("_", 1)[1]]
    for vm in processes.processes_by_vm:
        log = (tmp_path / f"{vm}.log").read_text()
        assert '"configuration applied"' in log
        assert [text for text in (*secrets, OPERATOR_TOKEN, PEER_SECRET) if text in log] == []


def _send_malformed_requests(processes: AuthorityProcesses, keys: tuple[str, ...]) -> None:
    """Send requests that fail at each stage, with keys in the header, the path and the body."""
    url = processes.url("addis-1")
    for key in (*keys, processes.standins.key_of("tower-trust")):
        headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
        for path, body in (
            ("/v1/chat/completions", b"{"),
            ("/v1/chat/completions", json.dumps({"model": key, "messages": []}).encode()),
            (f"/v1/services/{key}/read", b""),
            (f"/v1/unknown?key={key}", b""),
        ):
            urllib3.request("POST", url + path, headers=headers, body=body, retries=False)
        urllib3.request("GET", url + "/v1/models", headers={"Authorization": key}, retries=False)
        urllib3.request("GET", f"{url}/admin/v1/keys/{key}", headers=headers, retries=False)
