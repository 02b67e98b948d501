"""Tests of the command line against a scripted admin API."""

import sys
import types
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import pytest
from aiohttp import web
from click.testing import CliRunner, Result
from syrupy.assertion import SnapshotAssertion

from mangosaddle._identifiers import KeyId, OrganisationId
from mangosaddle.cli import ExitCode, main
from mangosaddle.cli._options import TimeSource
from mangosaddle.cli._toml import to_toml
from mangosaddle.configuration import (
    Configuration,
    Key,
    TomlSource,
    check_sources,
    configuration_body,
    format_etag,
    inventory_to_json,
    load_configuration,
    parse_edit,
    parse_etag,
    rules_to_json,
    with_key_granted,
)
from mangosaddle.standins import StandInHost

EXAMPLE = Path(__file__).parents[2] / "examples" / "authority"
BEFORE_ROLLOUTS_S = 0.0
"""Wall-clock time before the start of every rollout in the example."""

TOKEN = "operator-token"


@dataclass
class FakeAdmin:
    """In-memory admin API of an entry VM."""

    configuration: Configuration
    withdrawals: list[dict[str, list[str]]] = field(default_factory=list)
    """Responses to the withdrawal and the polls after it; the last one is repeated."""
    rollouts: list[str] = field(default_factory=list)
    """Rollout states returned by successive polls; the last one is repeated."""
    lost_responses: int = 0
    unavailable: int = 0
    authorisations: set[str] = field(default_factory=set)

    def application(self) -> web.Application:
        """Return the web application."""

        @web.middleware
        async def inject_faults(
            request: web.Request, handler: Callable[[web.Request], Any]
        ) -> web.StreamResponse:
            return await self._inject_faults(request, handler)

        application = web.Application(middlewares=[inject_faults])
        path = "/admin/v1/configuration"
        application.router.add_get(path, self._get)
        application.router.add_put(path, self._put)
        application.router.add_post(f"{path}/check", self._check)
        application.router.add_post("/admin/v1/keys", self._grant)
        for method in ("GET", "DELETE"):
            application.router.add_route(method, "/admin/v1/keys/{key_id}", self._withdraw)
        application.router.add_get("/admin/v1/versions", self._versions)
        application.router.add_get("/admin/v1/status", self._status)
        return application

    async def _inject_faults(
        self, request: web.Request, handler: Callable[[web.Request], Any]
    ) -> web.StreamResponse:
        self.authorisations.add(request.headers.get("Authorization", ""))
        if self.unavailable:
            self.unavailable -= 1
            return web.json_response({"detail": "the store is down"}, status=503)
        response: web.StreamResponse = await handler(request)
        if self.lost_responses and request.method != "GET" and request.transport is not None:
            self.lost_responses -= 1
            request.transport.abort()
        return response

    async def _get(self, request: web.Request) -> web.Response:
        return web.json_response(configuration_body(self.configuration))

    async def _put(self, request: web.Request) -> web.Response:
        current = self.configuration
        if parse_etag(request.headers["If-Match"]) != current.revision:
            return web.json_response({"current_revision": current.revision}, status=412)
        edit = parse_edit(current, await request.read(), BEFORE_ROLLOUTS_S)
        findings = [finding.to_json() for finding in edit.findings]
        if edit.configuration is None:
            return web.json_response({"findings": findings}, status=422)
        self.configuration = replace(edit.configuration, revision=current.revision + 1)
        body = {"revision": self.configuration.revision, "findings": findings}
        return web.json_response(body, headers={"ETag": format_etag(self.configuration.revision)})

    async def _check(self, request: web.Request) -> web.Response:
        edit = parse_edit(self.configuration, await request.read(), BEFORE_ROLLOUTS_S)
        return web.json_response({"findings": [finding.to_json() for finding in edit.findings]})

    async def _grant(self, request: web.Request) -> web.Response:
        organisation = OrganisationId((await request.json())["organisation"])
        if organisation not in self.configuration.organisations_by_id:
            return web.json_response({"detail": "unknown organisation"}, status=404)
        key = Key(KeyId("k2"), organisation, "cd" * 32)
        self.configuration = with_key_granted(self.configuration, key, BEFORE_ROLLOUTS_S)
        return web.json_response({"key": "msk_k2_secret", "key_id": "k2"}, status=201)

    async def _withdraw(self, request: web.Request) -> web.Response:
        if request.match_info["key_id"] not in self.configuration.keys_by_id:
            return web.json_response({"title": "unknown key"}, status=404)
        state = self.withdrawals.pop(0) if len(self.withdrawals) > 1 else self.withdrawals[0]
        return web.json_response(state)

    async def _versions(self, request: web.Request) -> web.Response:
        state = self.rollouts.pop(0) if len(self.rollouts) > 1 else self.rollouts[0]
        row = {"model": "advisor", "old": "v1", "new": "v2", "share": 0.5, "state": state}
        row |= {"reason": "p95 is above 2x", "deadline": "2027-01-11T10:00:00+00:00"}
        return web.json_response({"versions": [row]})

    async def _status(self, request: web.Request) -> web.Response:
        vms = [{"id": "addis-1", "state": "live", "streams": 3}, {"id": "addis-2", "state": None}]
        body = {"revision": 4, "store": {"reachable": True, "age_s": 0.25}, "vms": vms, "none": []}
        return web.json_response(body)


@pytest.fixture
def admin() -> FakeAdmin:
    """Admin API with the authority example and one key."""
    configuration = load_configuration(EXAMPLE).to_configuration(revision=4)
    assert configuration is not None
    key = Key(KeyId("k1"), OrganisationId("school-clocks"), "ab" * 32)
    return FakeAdmin(with_key_granted(configuration, key, BEFORE_ROLLOUTS_S))


@dataclass
class Shell:
    """Runs commands with the connection options set by environment variables."""

    environment: dict[str, str | None]
    now_s: float = 0.0

    def run(self, *arguments: str, **environment: str | None) -> Result:
        """Run a command with a fake clock that advances only when the command sleeps."""
        time_source = TimeSource(lambda: self.now_s, self._sleep)
        return CliRunner().invoke(
            main, list(arguments), env={**self.environment, **environment}, obj=time_source
        )

    def _sleep(self, seconds: float) -> None:
        self.now_s += seconds


@pytest.fixture
def shell(admin: FakeAdmin, standin_host: StandInHost) -> Shell:
    """Shell whose URLs are one unreachable address and two running VMs."""
    urls = [standin_host.serve(admin.application(), "127.0.0.1") for _ in range(2)]
    unreachable = "http://127.0.0.1:1"
    environment = {"URL": " ".join([unreachable, *urls]), "OPERATOR_TOKEN": TOKEN}
    return Shell({f"MANGOSADDLE_{name}": value for name, value in environment.items()})


@pytest.fixture
def documents(tmp_path: Path) -> Path:
    """Copies of the example documents for a test to edit."""
    for name in ("inventory.toml", "rules.toml"):
        (tmp_path / name).write_text((EXAMPLE / name).read_text())
    return tmp_path


def replace_in_file(path: Path, old: str, new: str) -> str:
    """Replace all occurrences of a text in a file and return the path."""
    text = path.read_text()
    assert old in text
    path.write_text(text.replace(old, new))
    return str(path)


def exit_code_and_output(result: Result) -> tuple[int, list[str]]:
    """Return exit code and output lines, without the path of the working directory."""
    return result.exit_code, result.output.replace(str(Path.cwd()), "").splitlines()


NEW_REGION = '[[regions]]\nname = "axum"\nzones = ["axum-a"]\n'
EDITS = [
    ("harmless", "rules.toml", "rate_tokens_per_s = 400\n", "rate_tokens_per_s = 500\n"),
    ("warning", "inventory.toml", "[[models]]", NEW_REGION + "[[models]]"),
    ("bad_value", "inventory.toml", "capacity = 16", "capacity = 0"),
    ("unknown_elsewhere", "inventory.toml", '[[organisations]]\nid = "school-clocks"\n', ""),
    ("unsafe", "inventory.toml", '{ advisor = ["v1"', '{ advisor = ["v2"'),
    ("not_toml", "rules.toml", "weight = 2.0", "weight = "),
]


@pytest.mark.parametrize("as_json", [False, True])
@pytest.mark.parametrize(
    ("file", "old", "new"), [row[1:] for row in EDITS], ids=[row[0] for row in EDITS]
)
def test_check_and_apply_accept_the_same_edits(
    shell: Shell,
    admin: FakeAdmin,
    documents: Path,
    file: str,
    old: str,
    new: str,
    as_json: bool,
    snapshot: SnapshotAssertion,
) -> None:
    """`apply` must accept exactly the edits that `check` passes and change nothing otherwise."""
    before = admin.configuration
    path = replace_in_file(documents / file, old, new)
    group = file.removesuffix(".toml")
    json_flag = ["--json"] if as_json else []
    checked = shell.run(group, "check", path, *json_flag)
    compared = shell.run(group, "diff", path, *json_flag)
    applied = shell.run(group, "apply", path, "--revision", "4", *json_flag)
    assert (applied.exit_code == ExitCode.OK) == (checked.exit_code == ExitCode.OK)
    assert (admin.configuration is before) == (applied.exit_code != ExitCode.OK)
    assert admin.authorisations <= {f"Bearer {TOKEN}"}
    assert [exit_code_and_output(result) for result in (checked, compared, applied)] == snapshot


def test_edit_of_an_old_revision_is_rejected(
    shell: Shell, admin: FakeAdmin, documents: Path
) -> None:
    """P14: the second of two edits of the same revision must not overwrite the first."""
    for name in ("inventory", "rules"):
        shown = shell.run(name, "show", "--toml")
        (documents / f"{name}.toml").write_text(shown.output)
    first = replace_in_file(
        documents / "rules.toml", "rate_tokens_per_s = 400.0", "rate_tokens_per_s = 500.0"
    )
    second = replace_in_file(documents / "inventory.toml", "capacity = 16", "capacity = 17")
    assert shell.run("rules", "apply", first).exit_code == ExitCode.OK
    accepted = admin.configuration
    refused = shell.run("inventory", "apply", second)
    assert refused.exit_code == ExitCode.CONFLICT
    assert "the current revision is 5" in refused.output
    assert admin.configuration == accepted
    replace_in_file(documents / "inventory.toml", "# revision: 4", "# revision: 5")
    assert shell.run("inventory", "apply", second).exit_code == ExitCode.OK
    organisation = admin.configuration.organisations_by_id[OrganisationId("school-clocks")]
    assert organisation.rate_tokens_per_s == 500
    assert "# revision: 6" in Path(second).read_text()
    without_revision = shell.run("rules", "apply", str(EXAMPLE / "rules.toml"))
    assert (without_revision.exit_code, admin.configuration.revision) == (ExitCode.USAGE, 6)


def test_first_apply_takes_both_documents(shell: Shell, admin: FakeAdmin) -> None:
    """An empty fleet accepts neither document alone, because each refers to the other."""
    expected = replace(admin.configuration, keys_by_id={})
    admin.configuration = Configuration(revision=0)
    paths = [str(EXAMPLE / "inventory.toml"), "--rules", str(EXAMPLE / "rules.toml")]
    assert shell.run("inventory", "apply", *paths).exit_code == ExitCode.OK
    assert admin.configuration == replace(expected, revision=1)


def test_lost_responses_of_an_edit_and_a_grant(shell: Shell, admin: FakeAdmin) -> None:
    """An applied edit must not conflict with its own retry; a grant must not be retried."""
    admin.lost_responses = 1
    result = shell.run("rules", "apply", str(EXAMPLE / "rules.toml"), "--revision", "4")
    assert (result.exit_code, admin.configuration.revision) == (ExitCode.OK, 5)
    admin.lost_responses = 1
    granted = shell.run("keys", "grant", "school-clocks")
    assert granted.exit_code == ExitCode.UNREACHABLE
    assert "keys list" in granted.output


PARTLY_CONFIRMED = {"confirmed": ["addis-1"], "unconfirmed": ["mekele-1", "gondar-1"]}
FULLY_CONFIRMED: dict[str, list[str]] = {
    "confirmed": ["addis-1", "mekele-1", "gondar-1"],
    "unconfirmed": [],
}


@pytest.mark.parametrize(
    ("arguments", "script"),
    [
        ("keys grant school-clocks", {}),
        ("keys grant nobody", {}),
        ("keys list", {}),
        ("keys list --json", {}),
        ("keys withdraw k1", {"withdrawals": [FULLY_CONFIRMED]}),
        (
            "keys withdraw k1",
            {"withdrawals": [PARTLY_CONFIRMED, PARTLY_CONFIRMED, FULLY_CONFIRMED]},
        ),
        ("keys withdraw k1 --timeout 3", {"withdrawals": [PARTLY_CONFIRMED]}),
        ("keys withdraw k1 --timeout 3 --json", {"withdrawals": [PARTLY_CONFIRMED]}),
        ("keys withdraw none", {"withdrawals": [FULLY_CONFIRMED]}),
        ("versions status", {"rollouts": ["moving"]}),
        ("versions status --json", {"rollouts": ["moving"]}),
        ("versions wait advisor", {"rollouts": ["moving", "held", "moved"]}),
        ("versions wait advisor", {"rollouts": ["moving", "taken-back"]}),
        ("versions wait advisor --timeout 60", {"rollouts": ["moving"]}),
        ("versions wait other", {"rollouts": ["moving"]}),
        ("status", {}),
        ("status", {"unavailable": 1}),
        ("status --json", {}),
        ("rules show", {}),
        ("inventory show --json", {}),
        ("inventory show --toml", {}),
    ],
)
def test_commands_print_state_and_exit_code(
    shell: Shell,
    admin: FakeAdmin,
    arguments: str,
    script: dict[str, Any],
    snapshot: SnapshotAssertion,
) -> None:
    """Operators' scripts depend on the exit codes and the output format."""
    for name, value in script.items():
        setattr(admin, name, list(value) if isinstance(value, list) else value)
    assert exit_code_and_output(shell.run(*arguments.split())) == snapshot


@pytest.mark.parametrize(
    ("environment", "code"),
    [
        ({"MANGOSADDLE_URL": "http://127.0.0.1:1"}, ExitCode.UNREACHABLE),
        ({"MANGOSADDLE_URL": None}, ExitCode.USAGE),
        ({"MANGOSADDLE_OPERATOR_TOKEN": None}, ExitCode.USAGE),
    ],
)
def test_unreachable_fleet_and_missing_options_have_distinct_exit_codes(
    shell: Shell, environment: dict[str, str | None], code: ExitCode
) -> None:
    """Scripts must be able to tell an unreachable fleet from a usage error."""
    assert shell.run("status", **environment).exit_code == code


def test_shown_toml_parses_to_the_same_configuration(admin: FakeAdmin) -> None:
    """Applying the output of `show --toml` must not change the configuration."""
    current = admin.configuration
    texts = (to_toml(inventory_to_json(current), 4), to_toml(rules_to_json(current), 4))
    sources = [TomlSource(name, text) for name, text in zip("ir", texts, strict=True)]
    assert check_sources(*sources).to_configuration(4, current.keys_by_id) == current


@pytest.mark.parametrize(
    ("command", "module", "function", "code"),
    [
        (["demo"], "mangosaddle.demo", "run_demo", 1),
        (["measure", "--seed", "7"], "mangosaddle.measure", "run_measure", 0),
    ],
)
def test_process_commands_return_the_exit_code(
    command: list[str],
    module: str,
    function: str,
    code: int,
    shell: Shell,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A failed demo must fail the build that runs it."""
    stand_in = types.ModuleType(module)
    setattr(stand_in, function, lambda *arguments: code)
    monkeypatch.setitem(sys.modules, module, stand_in)
    assert shell.run(*command).exit_code == code
