"""Tests of the command that serves the stand-ins for manually started entry VMs."""

import shlex
from dataclasses import replace
from urllib.parse import urlsplit

import pytest
import urllib3
from aiohttp import web
from click.testing import CliRunner

import mangosaddle.daemon
from mangosaddle._identifiers import VmId
from mangosaddle.cli import main
from mangosaddle.cli._stand_ins import entry_command
from mangosaddle.configuration import Configuration
from mangosaddle.daemon import EntrySettings
from mangosaddle.demo import OPERATOR_TOKEN, PEER_SECRET, example_configuration, wait_for
from mangosaddle.standins import (
    DeploymentStandIns,
    StandInHost,
    VmFollower,
    VmListStandIn,
    _deployment,
    _vm_follower,
    free_port,
)

TIMEOUT_S = 10.0


def _with_free_ports(configuration: Configuration) -> Configuration:
    """Return the configuration with free ports, so that parallel test runs do not collide."""

    def with_free_port(url: str) -> str:
        parts = urlsplit(url)
        return f"{parts.scheme}://{parts.hostname}:{free_port(str(parts.hostname))}"

    vms = {
        vm.id: replace(vm, url=with_free_port(vm.url), peer_url=with_free_port(vm.peer_url))
        for vm in configuration.vms_by_id.values()
    }
    endpoints = {
        endpoint.id: replace(endpoint, url=with_free_port(endpoint.url))
        for endpoint in configuration.endpoints_by_id.values()
    }
    return replace(configuration, vms_by_id=vms, endpoints_by_id=endpoints)


@pytest.mark.parametrize("deployment", ["authority", "division"])
def test_printed_commands_start_the_vms_of_the_inventory(
    deployment: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against commands that start VMs on other addresses or ports than the inventory's."""
    monkeypatch.setattr(_deployment, "STORE_PORT", free_port("127.0.0.1"))
    monkeypatch.setattr(_deployment, "VM_LIST_PORT", free_port("127.0.0.1"))
    started: list[EntrySettings] = []

    def run_entry(settings: EntrySettings) -> int:
        started.append(settings)
        return 0

    monkeypatch.setattr(mangosaddle.daemon, "run_entry", run_entry)
    configuration = _with_free_ports(example_configuration(deployment))
    platform = DeploymentStandIns(configuration, inventory_ports=True)
    try:
        platform.start()
        for endpoint in configuration.endpoints_by_id.values():
            parts = urlsplit(endpoint.url)
            assert urllib3.HTTPConnectionPool(str(parts.hostname), parts.port).request("GET", "/")
        stored = urllib3.request("GET", f"{platform.store_url}/v1/kv/configuration", retries=False)
        assert stored.status == 200
        assert urlsplit(platform.store_url).port == _deployment.STORE_PORT
        assert urlsplit(platform.vm_list_url).port == _deployment.VM_LIST_PORT
        secrets = {
            "MANGOSADDLE_PEER_SECRET": PEER_SECRET,
            "MANGOSADDLE_OPERATOR_TOKEN": OPERATOR_TOKEN,
        }
        for vm in configuration.vms_by_id:
            settings = platform.settings_of(vm, PEER_SECRET, OPERATOR_TOKEN)
            arguments = shlex.split(entry_command(settings))
            assert PEER_SECRET not in arguments
            result = CliRunner().invoke(main, arguments[1:], env=secrets)
            assert result.exit_code == 0, result.output
            assert started[-1] == EntrySettings.from_values(settings).unwrap()
    finally:
        platform.stop()
    started_addresses = {(s.vm, s.address, s.port, s.peer_port) for s in started}
    assert started_addresses == {
        (vm.id, urlsplit(vm.url).hostname, urlsplit(vm.url).port, urlsplit(vm.peer_url).port)
        for vm in configuration.vms_by_id.values()
    }


def test_vm_list_follows_started_and_stopped_vms(
    standin_host: StandInHost, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a list that keeps a stopped VM: its slots would never be taken over."""
    monkeypatch.setattr(_vm_follower, "REMOVAL_DELAY_S", 0.0)
    monkeypatch.setattr(_vm_follower, "POLL_INTERVAL_S", 0.01)

    async def status(_request: web.Request) -> web.Response:
        return web.json_response({"incarnation": "a1"})

    application = web.Application()
    application.router.add_get("/admin/v1/status", status)
    vm_host = StandInHost()
    vm_host.start()
    url = vm_host.serve(application, "127.0.0.1")
    vm_list = VmListStandIn()
    unreachable_url = f"http://127.0.0.1:{free_port('127.0.0.1')}"
    follower = VmFollower(vm_list, {VmId("one"): url, VmId("two"): unreachable_url}, OPERATOR_TOKEN)
    standin_host.spawn(follower.run())
    wait_for(
        lambda: [(vm.id, vm.incarnation) for vm in vm_list.vms] == [("one", "a1")],
        "the running VM is listed",
        TIMEOUT_S,
    )
    vm_host.stop()
    wait_for(lambda: not vm_list.vms, "the stopped VM is removed from the list", TIMEOUT_S)
