"""End to end: the operators' command line and the callers' library against six processes."""

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

IN_FORCE_S = 4.0
ROLLBACK_S = 30.0
"""Bound of the test's own load: a few failures at 1% to 5% of the requests decide."""
QUESTION = [{"role": "user", "content": "How far does the tower clock drift?"}]


@dataclass(frozen=True)
class Operator:
    """Runs commands against one VM."""

    processes: AuthorityProcesses
    vm: str

    def run(self, *words: str) -> Result:
        """Run a command as the shell would."""
        environment = {
            "MANGOSADDLE_URL": self.processes.url(self.vm),
            "MANGOSADDLE_OPERATOR_TOKEN": OPERATOR_TOKEN,
        }
        return CliRunner().invoke(main, list(words), env=environment)

    def expect(self, code: ExitCode, *words: str) -> str:
        """Run a command that has to end in this exit code; return its output."""
        result = self.run(*words)
        assert result.exit_code == code, (words, result.output, result.exception)
        return result.output

    def save(self, document: str, path: Path) -> str:
        """Write a document in force to a file; return its text."""
        path.write_text(self.expect(ExitCode.OK, document, "show", "--toml"))
        return path.read_text()


def test_documents_are_edited_at_any_vm(processes: AuthorityProcesses, tmp_path: Path) -> None:
    """Guards against a command line and an admin API that understand edits differently."""
    first, second = Operator(processes, "addis-1"), Operator(processes, "mekele-2")
    mine, theirs = tmp_path / "inventory.toml", tmp_path / "theirs.toml"
    text = first.save("inventory", mine)
    second.save("inventory", theirs)
    assert "no differences" in first.expect(ExitCode.OK, "inventory", "diff", str(mine))
    mine.write_text(text.replace("capacity = 16", "capacity = 15"))
    first.expect(ExitCode.OK, "inventory", "check", str(mine))
    assert "runner-1" in first.expect(ExitCode.OK, "inventory", "diff", str(mine))
    assert "accepted as revision" in first.expect(ExitCode.OK, "inventory", "apply", str(mine))
    wait_for(
        lambda: "capacity = 15" in second.run("inventory", "show", "--toml").output,
        "the edit is in force at the other VM",
        IN_FORCE_S,
    )
    # The other operator's file is based on the revision before.
    theirs.write_text(theirs.read_text().replace("capacity = 16", "capacity = 14"))
    second.expect(ExitCode.CONFLICT, "inventory", "apply", str(theirs))
    assert "capacity = 15" in second.expect(ExitCode.OK, "inventory", "show", "--toml")

    rules = tmp_path / "rules.toml"
    good = second.save("rules", rules)
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
        "the status names the new revision",
        IN_FORCE_S,
    )
    status = json.loads(first.expect(ExitCode.OK, "status", "--json"))
    assert [vm["state"] for vm in status["vms"]] == ["live"] * 6


def test_a_bad_version_is_taken_back(processes: AuthorityProcesses, tmp_path: Path) -> None:
    """Guards against a rollback that operators and their scripts do not see."""
    operator = Operator(processes, "gondar-2")
    for engine in processes.standins.engines_by_id.values():
        engine.faults.failing_versions = {"advisor@v2"}
    rules = tmp_path / "rules.toml"
    plan = operator.save("rules", rules)
    begun = datetime.now(UTC) - timedelta(minutes=1)
    end = begun + timedelta(hours=1)
    kept = plan[: plan.index("[[rollouts]]")]
    rules.write_text(
        f'{kept}[[rollouts]]\nmodel = "advisor"\nold = "v1"\nnew = "v2"\n'
        f"start = {begun.isoformat()}\ndeadline = {end.isoformat()}\n"
        f"steps = [{{ at = {begun.isoformat()}, share = 0.5 }}, "
        f"{{ at = {end.isoformat()}, share = 1.0 }}]\n"
    )
    operator.expect(ExitCode.OK, "rules", "apply", str(rules))
    key = processes.standins.key_of("tower-trust")
    vms = sorted(processes.processes_by_vm)

    def is_taken_back() -> bool:
        with ThreadPoolExecutor(len(vms)) as pool:
            list(pool.map(lambda vm: _ask(processes, vm, key), vms * 5))
        return "taken-back" in operator.expect(ExitCode.OK, "versions", "status")

    wait_for(is_taken_back, "the version is taken back", ROLLBACK_S)
    output = operator.expect(ExitCode.FINDINGS, "versions", "wait", "advisor")
    assert "rolled back" in output


def _ask(processes: AuthorityProcesses, vm: str, key: str) -> str:
    with Client([processes.url(vm)], key, deadline_s=5.0) as client:
        return "".join(client.stream_chat(QUESTION, "advisor", {"max_tokens": 3}))


def _is_accepted(processes: AuthorityProcesses, vm: str, key: str) -> Callable[[], bool]:
    def ask() -> bool:
        try:
            return bool(_ask(processes, vm, key))
        except RefusedError:
            return False

    return ask


def test_keys_are_granted_used_and_withdrawn(processes: AuthorityProcesses, tmp_path: Path) -> None:
    """Guards against keys that outlive their withdrawal, false exit codes and keys in logs."""
    operator = Operator(processes, "gondar-1")
    operator.expect(ExitCode.FINDINGS, "keys", "grant", "nobody")
    granted = [
        json.loads(operator.expect(ExitCode.OK, "keys", "grant", "tower-trust", "--json"))
        for _ in range(2)
    ]
    key, other = (row["key"] for row in granted)
    key_id, other_id = (row["key_id"] for row in granted)
    wrong = key[:-8] + "00000000"
    for text in (key, other):
        wait_for(_is_accepted(processes, "mekele-1", text), "the key works", IN_FORCE_S)
    with pytest.raises(RefusedError):
        _ask(processes, "mekele-1", wrong)

    withdrawn = json.loads(operator.expect(ExitCode.OK, "keys", "withdraw", key_id, "--json"))
    assert sorted(withdrawn["confirmed"]) == sorted(processes.processes_by_vm)
    for vm in processes.processes_by_vm:
        with pytest.raises(RefusedError):
            _ask(processes, vm, key)
    operator.expect(ExitCode.FINDINGS, "keys", "withdraw", "ffffffffffffffff")

    processes.signal("addis-2", signal.SIGSTOP)
    late = operator.expect(
        ExitCode.TIMEOUT, "keys", "withdraw", other_id, "--timeout", "1", "--json"
    )
    assert "addis-2" in late
    status = json.loads(operator.expect(ExitCode.OK, "status", "--json"))
    assert status["unconfirmed_withdrawals"] == [{"key_id": other_id, "unconfirmed": ["addis-2"]}]
    processes.signal("addis-2", signal.SIGCONT)
    operator.expect(ExitCode.OK, "keys", "withdraw", other_id)
    status = json.loads(operator.expect(ExitCode.OK, "status", "--json"))
    assert status["unconfirmed_withdrawals"] == []
    with pytest.raises(RefusedError):
        _ask(processes, "addis-2", other)

    nowhere = f"http://127.0.0.1:{free_port('127.0.0.1')}"
    operator.expect(ExitCode.UNREACHABLE, "status", "--url", nowhere)
    operator.expect(ExitCode.FINDINGS, "status", "--operator-token", "wrong")

    _send_malformed_requests(processes, (key, other, wrong))
    secrets = [text.rsplit("_", 1)[1] for text in (key, other, wrong)]
    secrets += [processes.standins.key_of("tower-trust").rsplit("_", 1)[1]]
    for vm in processes.processes_by_vm:
        log = (tmp_path / f"{vm}.log").read_text()
        assert '"configuration applied"' in log
        assert [text for text in (*secrets, OPERATOR_TOKEN, PEER_SECRET) if text in log] == []


def _send_malformed_requests(processes: AuthorityProcesses, keys: tuple[str, ...]) -> None:
    """Send what fails at every stage, with keys at right and wrong places."""
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
