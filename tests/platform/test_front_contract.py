"""Contract with callers: admission, refusals, readiness, draining and metrics of a VM."""

import asyncio
import json

import pytest

from mangosaddle.entry._entry_process import EXIT_MARGIN_S, STOP_LISTENING_AFTER_S
from mangosaddle.http11 import UpstreamConnection
from platform_standins import (
    Behaviour,
    Fleet,
    RunnerStandIn,
    default_configuration,
    run_on_default_fleet,
    run_on_empty_fleet,
    tenant,
    wait_until,
)


@pytest.mark.parametrize(
    ("path", "key", "changes", "status"),
    [
        ("/read/x", "key-1", {}, 200),
        ("/read/x", "key-2", {}, 200),
        ("/read/x", None, {}, 401),
        ("/read/x", "key-3", {}, 401),
        ("/read/x", "", {}, 401),
        ("/open/x", None, {}, 200),
        ("/open/x", "key-3", {}, 200),
        ("/read", "key-1", {}, 404),
        ("/elsewhere/x", "key-1", {}, 404),
        ("/west/x", "key-1", {}, 503),
        ("/read/x", "key-1", {"request_id": ""}, 400),
        ("/read/x", "key-1", {"deadline_milliseconds": "soon"}, 400),
        ("/read/x", "key-1", {"token_counts": "1,2,3"}, 400),
        ("/read/x", "key-1", {"token_counts": "1,2", "prompt_prefix": "a"}, 400),
        ("/read/x", "key-1", {"last_event_id": "x"}, 400),
        ("/read/x", "key-1", {"last_event_id": "9" * 5000}, 400),
        ("/read/x", "key-1", {"token_counts": "9" * 400 + ",2"}, 400),
        ("/read/x", "key-1", {"token_counts": "1,2", "prompt_prefix": "a:" + "9" * 5000}, 400),
    ],
)
def test_requests_are_admitted_or_refused_with_the_right_status(
    path: str, key: str | None, changes: dict[str, str], status: int
) -> None:
    """Guards against running unauthorised requests, and against refusing valid ones."""

    async def _scenario(fleet: Fleet) -> None:
        answer = await fleet.call(fleet.vms["vm-1"], path, key, extra=changes)
        assert answer.status == status
        runs = sum(sum(runner.runs_by_request_id.values()) for runner in fleet.runners.values())
        assert runs == (1 if status == 200 else 0)

    run_on_default_fleet(_scenario)


def test_all_errors_of_a_request_are_reported_together() -> None:
    """Guards against callers that learn of only one error per attempt."""

    async def _scenario(fleet: Fleet) -> None:
        answer = await fleet.call(
            fleet.vms["vm-1"], "/read/x", request_id="", token_counts="x", last_event_id="y"
        )
        document = json.loads(answer.body)
        places = [finding["place"] for finding in document["findings"]]
        assert places == ["header request-id", "header last-event-id", "header token-counts"]
        assert document["execution"] == "not_run"

    run_on_default_fleet(_scenario)


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (
            b"GET /read/x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n",
            400,
        ),
        (b"GET /read/x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", 400),
        (b"GET /read/x HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 20_000 + b"\r\n\r\n", 431),
        (b"POST /read/x HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n", 413),
        (b"\x16\x03\x01 garbage\r\n\r\n", 400),
        (b"POST /read/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
    ],
)
def test_malformed_requests_are_refused_and_the_process_survives(raw: bytes, status: int) -> None:
    """Guards against request smuggling and oversized requests."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        reader, writer = await asyncio.open_connection(*vm.settings.front)
        writer.write(raw)
        line = await asyncio.wait_for(reader.readline(), 10)
        writer.close()
        assert line.split()[1] == str(status).encode()
        assert (await fleet.call(vm, "/read/x")).status == 200
        assert (
            sum(sum(runner.runs_by_request_id.values()) for runner in fleet.runners.values()) == 1
        )

    run_on_default_fleet(_scenario)


def test_a_configuration_without_a_key_or_route_disables_it() -> None:
    """Guards against a removed key or route that still works."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        changed = default_configuration(2, tenants=[tenant("acme", "key-9")])
        changed["routes"] = [row for row in changed["routes"] if row["prefix"] != "/order/"]
        await fleet.store.put("op/config", changed)
        await wait_until(lambda: vm.catalogue.version == 2)
        assert (await fleet.call(vm, "/read/x", "key-1")).status == 401
        assert (await fleet.call(vm, "/read/x", "key-9")).status == 200
        assert (await fleet.call(vm, "/order/x", "key-9")).status == 404

    run_on_default_fleet(_scenario)


def test_requests_above_the_allowance_get_429_with_retry_after() -> None:
    """Guards against an organisation that exceeds its rate, and against refusing another one."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        statuses = []
        for _ in range(12):
            answer = await fleet.call(vm, "/read/x", "key-2")
            statuses.append(answer.status)
        assert statuses.count(200) in range(5, 8)
        assert set(statuses) == {200, 429}
        assert float(answer.header("Retry-After")) > 0
        assert (await fleet.call(vm, "/read/x", "key-1")).status == 200

    run_on_default_fleet(_scenario)


def test_a_request_that_has_not_run_is_not_charged() -> None:
    """Guards against an allowance that is used up by refused requests."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        for runner in fleet.runners.values():
            runner.behaviour = Behaviour.REJECT
        for _ in range(12):
            assert (await fleet.call(vm, "/order/x", "key-2")).status == 503
        for runner in fleet.runners.values():
            runner.behaviour = Behaviour.OK
        assert (await fleet.call(vm, "/order/x", "key-2")).status == 200

    run_on_default_fleet(_scenario)


def test_an_evacuated_zone_gets_no_requests_until_the_evacuation_ends() -> None:
    """Guards against requests to an evacuated zone, and to endpoints that return cold."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        await fleet.store.put("op/evacuate/east-a", {})
        await wait_until(lambda: vm.endpoints.registry.evacuated_zones)
        assert (await fleet.call(vm, "/read/x")).status == 503
        for runner in fleet.runners.values():
            runner.cold_ms = 3000
        await fleet.store.remove("op/evacuate/east-a")
        await wait_until(lambda: not vm.endpoints.registry.evacuated_zones)
        await wait_until(lambda: all(runner.health_checks for runner in fleet.runners.values()))
        await wait_until(
            lambda: all(view.cold_limiter.is_cold(vm._clock()) for view in vm.endpoints.views())
        )

    run_on_default_fleet(_scenario)


def test_a_leaving_endpoint_gets_no_new_request() -> None:
    """Guards against new requests to an endpoint that has announced that it drains."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        leaving = fleet.runners["desk-1"]
        await fleet.store.put(leaving.key, leaving.entry(state="draining"))
        await wait_until(
            lambda: len(list(vm.endpoints.registry.serving("desk", "east"))) == 1  # type: ignore[arg-type]
        )
        for _ in range(4):
            assert (await fleet.call(vm, "/read/x")).status == 200
        assert sum(leaving.runs_by_request_id.values()) == 0

    run_on_default_fleet(_scenario)


def test_readiness_and_directory_follow_the_state_of_the_vm() -> None:
    """Guards against directing callers to a VM that cannot serve."""

    async def _scenario(fleet: Fleet) -> None:
        vm = await fleet.add_vm("vm-1")
        ready, discovery = vm.settings.ready, vm.settings.discovery
        assert ready is not None
        assert discovery is not None
        target = "/api/resolve?name=example.test&region=east&zone=east-a"
        assert (await fleet.get(ready, "/api/readiness")).status == 503
        assert (await fleet.get(discovery, target)).status == 503
        assert (await fleet.call(vm, "/read/x")).status == 503
        await fleet.store.put("op/config", default_configuration())
        await fleet.wait_until_ready()
        assert (await fleet.get(ready, "/api/readiness")).status == 200
        answer = await fleet.get(discovery, target)
        document = json.loads(answer.body)
        assert document["addresses"] == [f"{vm.settings.host}:8221"]
        assert 0 < document["ttl_s"] <= 5
        assert (await fleet.get(ready, "/elsewhere")).status == 404

    run_on_empty_fleet(_scenario)


def test_draining_a_vm_completes_requests_in_progress() -> None:
    """Guards against responses that are lost when a VM is stopped."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        engines = [runner for runner in fleet.runners.values() if runner.service == "engine"]
        for runner in engines:
            runner.behaviour = Behaviour.HOLD_STREAM
        running = asyncio.create_task(
            fleet.call(vm, "/chat/x", method="POST", body=b"p", token_counts="10,28")
        )
        await wait_until(lambda: any(runner.runs_by_request_id for runner in engines))
        draining = asyncio.create_task(vm.drain())
        await wait_until(lambda: vm._leaving)
        ready = vm.settings.ready
        assert ready is not None
        assert (await fleet.get(ready, "/api/readiness")).status == 503
        late = await fleet.call(vm, "/open/x", None)
        assert late.status == 200
        assert late.header("Connection") == "close"
        for runner in engines:
            runner.release.set()
        answer = await running
        assert answer.body.count(b"data:") == 4
        await draining
        assert fleet.store.keys("mangosaddle/vms/") == []

    run_on_default_fleet(_scenario)


def test_a_vm_exits_within_its_grace_period_although_the_store_is_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against VMs that are killed because they wait for the store at the end."""

    async def _scenario(fleet: Fleet) -> None:
        vm = await fleet.add_vm("vm-2", grace_s=STOP_LISTENING_AFTER_S + EXIT_MARGIN_S)
        await wait_until(vm.is_ready)
        monkeypatch.setattr(vm._store, "revoke_lease", lambda _lease: asyncio.sleep(60.0))
        async with asyncio.timeout(vm.settings.bounds.grace_s):
            await vm.drain()

    run_on_default_fleet(_scenario)


def test_connections_are_reused() -> None:
    """Guards against a new connection per request, from callers as well as to runners."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        await fleet.store.remove("servers/desk-2")
        await wait_until(lambda: len(vm.endpoints.registry.registrations_by_id()) == 3)
        connection = await UpstreamConnection.open(*vm.settings.front, 1.0)
        for _ in range(5):
            head, body = await connection.call(fleet.request("/read/x"), 10.0, 1 << 20)
            assert (head.status, body) == (200, b"the whole answer")
        connection.abort()
        assert fleet.runners["desk-1"].accepted_connections == 1

    run_on_default_fleet(_scenario)


def test_a_request_that_crashes_its_runners_is_not_retried() -> None:
    """Guards against one request that crashes runner after runner."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        for number in range(3, 6):
            await fleet.add_runner(RunnerStandIn(f"desk-{number}", "desk", "east-a"))
        await fleet.wait_for_endpoints(vm, "desk-3", "desk-4", "desk-5")
        for runner in fleet.runners.values():
            runner.behaviour = Behaviour.CRASH
        first = await fleet.call(vm, "/read/deadly", method="POST", body=b"deadly")
        assert first.status == 502
        # Each of the two crashes is known once a health check has shown it.
        await wait_until(lambda: len(vm.quarantine.active_reports(0.0)) == 2)
        for _ in range(3):
            later = await fleet.call(vm, "/read/deadly", method="POST", body=b"deadly")
            assert later.status == 503
        assert (
            sum(sum(runner.runs_by_request_id.values()) for runner in fleet.runners.values()) == 2
        )

    run_on_default_fleet(_scenario)


def test_lost_responses_do_not_quarantine_a_request() -> None:
    """Guards against refusing harmless requests whose responses were lost twice."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        for runner in fleet.runners.values():
            runner.behaviour = Behaviour.RESET
        for _ in range(3):
            assert (await fleet.call(vm, "/read/x")).status in (502, 503)
        for runner in fleet.runners.values():
            runner.behaviour = Behaviour.OK
        views = list(vm.endpoints.views())
        await wait_until(lambda: not any(view.crash_suspect_fingerprints for view in views))
        assert (await fleet.call(vm, "/read/x")).status == 200

    run_on_default_fleet(_scenario)


def test_request_metrics_are_labelled_by_organisation() -> None:
    """Guards against a VM whose load is missing from the metrics."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        await fleet.call(vm, "/read/x")
        page = await fleet.get((vm.settings.host, vm.settings.metrics_port), "/metrics")
        assert (
            b'mangosaddle_requests_total{ending="delivered",organisation="acme"} 1.0' in page.body
        )
        assert b"mangosaddle_request_seconds_bucket" in page.body

    run_on_default_fleet(_scenario)


def _fail(*_args: object, **_kwargs: object) -> None:
    raise RuntimeError("unexpected")


def test_an_unexpected_error_before_a_request_is_sent_is_a_refusal() -> None:
    """Guards against a closed connection in place of an answer, and against a charge for it."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        vm.allowance_calls.admit = _fail  # type: ignore[method-assign, assignment]
        answer = await fleet.call(vm, "/read/x")
        assert answer.status == 503
        assert json.loads(answer.body)["execution"] == "not_run"

    run_on_default_fleet(_scenario)


def test_an_unexpected_error_of_a_request_that_may_have_run_is_no_refusal() -> None:
    """Guards against a closed connection in place of an answer, and against a false promise."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        vm.crashes.record_lost = _fail  # type: ignore[method-assign]
        for runner in fleet.runners.values():
            runner.behaviour = Behaviour.RESET
        answer = await fleet.call(vm, "/order/x", method="POST", body=b"one")
        assert answer.status == 502
        assert json.loads(answer.body)["execution"] == "unknown"

    run_on_default_fleet(_scenario)
