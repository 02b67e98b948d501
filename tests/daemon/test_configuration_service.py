"""Tests of configuration changes in a running fleet.

They cover concurrent edits, lost and delayed store responses, outages and large documents.
"""

import copy
import json
import threading
import time
import zlib
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from typing import Any

import pytest
import urllib3

from mangosaddle._identifiers import VmId
from mangosaddle.configuration import (
    configuration_body,
    decode_configuration,
    encode_configuration,
)
from mangosaddle.daemon import EntryNode
from mangosaddle.daemon import _configuration_service as service_module
from mangosaddle.daemon._configuration_head import HEAD_KEY, ConfigurationHead
from mangosaddle.daemon._configuration_service import CONFIGURATION_KEY
from mangosaddle.daemon._configuration_watch import MIN_FALLBACK_INTERVAL_S
from mangosaddle.demo import OPERATOR_TOKEN, LocalFleet, example_configuration, wait_for
from mangosaddle.gateway import _admin_handler as handler_module
from mangosaddle.providers import StoreEntry

MAX_PROPAGATION_S = 4.0
"""Target: all VMs apply a change within this time."""
TIMEOUT_S = 15.0
MIB = 1_048_576
AUTHORIZATION = f"Bearer {OPERATOR_TOKEN}"
PATH = "/admin/v1/configuration"
Json = dict[str, Any]


@pytest.fixture(scope="module")
def fleet() -> Iterator[LocalFleet]:
    """Run a fleet of the six entry VMs of the example inventory ``authority``."""
    running = LocalFleet(example_configuration("authority"), seed=3)
    try:
        running.start()
        yield running
    finally:
        running.stop()


def _send(
    fleet: LocalFleet,
    method: str,
    vm: str,
    path: str = PATH,
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
) -> urllib3.BaseHTTPResponse:
    sent = {"Authorization": AUTHORIZATION, **(headers or {})}
    url = fleet.url(vm) + path
    return urllib3.request(method, url, headers=sent, body=body, retries=False, timeout=20.0)


def _put(fleet: LocalFleet, vm: str, document: Json) -> urllib3.BaseHTTPResponse:
    headers = {"If-Match": f'"{document["revision"]}"'}
    return _send(fleet, "PUT", vm, headers=headers, body=_body(document))


def _body(document: Json) -> bytes:
    return json.dumps({name: document[name] for name in ("inventory", "rules")}).encode()


def _read(fleet: LocalFleet, vm: str) -> Json:
    document: Json = _send(fleet, "GET", vm).json()
    return document


def _with_rate(document: Json, organisation: str, rate: int) -> Json:
    edited = copy.deepcopy(document)
    for allowance in edited["rules"]["allowances"]:
        if allowance["organisation"] == organisation:
            allowance["rate_tokens_per_s"] = rate
    return edited


def _rate(document: Json, organisation: str) -> float:
    rates = {a["organisation"]: a["rate_tokens_per_s"] for a in document["rules"]["allowances"]}
    return float(rates[organisation])


def _revision(fleet: LocalFleet, vm: str) -> int:
    return int(_send(fleet, "GET", vm, "/admin/v1/status").json()["revision"])


def _wait_for_revision(fleet: LocalFleet, revision: int) -> None:
    """Wait until all VMs apply the revision or a higher one."""
    everywhere = fleet.nodes_by_vm
    wait_for(
        lambda: all(_revision(fleet, vm) >= revision for vm in everywhere),
        f"revision {revision} at {len(everywhere)} VMs",
        TIMEOUT_S,
    )


def _head(fleet: LocalFleet) -> ConfigurationHead | None:
    stored = fleet.standins.store.values_by_key.get(HEAD_KEY)
    if stored is None:
        return None
    return ConfigurationHead.from_entry(StoreEntry(HEAD_KEY, stored.value, stored.modify_index))


def _edit(fleet: LocalFleet, rate: int) -> int:
    answer = _put(fleet, "addis-1", _with_rate(_read(fleet, "addis-1"), "tower-trust", rate))
    assert answer.status == 200, answer.data
    return int(answer.json()["revision"])


def _edit_with_lost_answer(fleet: LocalFleet, rate: int) -> int:
    fleet.standins.store.faults.lose_write_answers = 1
    return _edit(fleet, rate)


def _write_without_head(fleet: LocalFleet, rate: int) -> int:
    """Write a configuration but no head, like a VM killed between the two writes."""
    store = next(iter(fleet.nodes_by_vm.values()))._store
    entry = store.read(CONFIGURATION_KEY).unwrap()
    assert entry is not None
    current = decode_configuration(entry.value, entry.modify_index).configuration
    organisations = {
        name: replace(organisation, rate_tokens_per_s=float(rate))
        if name == "tower-trust"
        else organisation
        for name, organisation in current.organisations_by_id.items()
    }
    edited = replace(current, organisations_by_id=organisations, digest=b"")
    value = encode_configuration(edited, "killed writer")
    return (
        store.compare_and_swap(CONFIGURATION_KEY, value, entry.modify_index).unwrap().modify_index
    )


@pytest.mark.parametrize(
    ("write", "rate"),
    [(_edit, 4101), (_edit_with_lost_answer, 4102), (_write_without_head, 4103)],
    ids=["stored", "answer lost after the write", "writer killed before the head"],
)
def test_a_change_reaches_all_vms_in_time(
    fleet: LocalFleet,
    write: Callable[[LocalFleet, int], int],
    rate: int,
    record_property: Callable[[str, object], None],
) -> None:
    """Guards against an accepted change that some VM misses or applies late (P14).

    The response of the write may be lost, and the writer may be killed before it writes the head.
    """
    begin = time.monotonic()
    revision = write(fleet, rate)
    _wait_for_revision(fleet, revision)
    elapsed_s = time.monotonic() - begin
    print(f"in force at {len(fleet.nodes_by_vm)} VMs after {elapsed_s:.2f} s")
    record_property("in_force_s", elapsed_s)
    assert elapsed_s < MAX_PROPAGATION_S
    for vm in fleet.nodes_by_vm:
        assert _rate(_read(fleet, vm), "tower-trust") == rate
    wait_for(
        lambda: (head := _head(fleet)) is not None and head.revision == revision,
        "the head names the newest revision",
        TIMEOUT_S,
    )


def test_one_of_two_concurrent_edits_is_stored_and_the_other_refused(fleet: LocalFleet) -> None:
    """Guards against an edit that overwrites another one, or that is refused but stored."""
    for turn in range(6):
        document = _read(fleet, "addis-1")
        _wait_for_revision(fleet, document["revision"])
        edits = [
            ("addis-1", "tower-trust", 4200 + turn),
            ("mekele-2", "station-clocks", 3200 + turn),
        ]

        def put(edit: tuple[str, str, int], base: Json) -> int:
            vm, organisation, rate = edit
            return _put(fleet, vm, _with_rate(base, organisation, rate)).status

        with ThreadPoolExecutor(2) as pool:
            statuses = list(pool.map(lambda edit, base=document: put(edit, base), edits))
        assert sorted(statuses) == [200, 412]
        loser = edits[statuses.index(412)]
        winner = edits[statuses.index(200)]
        newest = _read(fleet, winner[0])
        assert _rate(newest, winner[1]) == winner[2]
        assert _rate(newest, loser[1]) == _rate(document, loser[1])
        assert put(loser, newest) == 200
        merged = _read(fleet, loser[0])
        assert [_rate(merged, organisation) for _, organisation, _ in edits] == [
            rate for _, _, rate in edits
        ]
        # The next turn reads from another VM, which must not have an older revision.
        _wait_for_revision(fleet, merged["revision"])


def test_a_delayed_read_of_an_older_revision_is_ignored(
    fleet: LocalFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a VM that reverts to an older revision.

    A read of the store returns only after a newer revision has been applied.
    """
    node = fleet.nodes_by_vm[VmId("gondar-1")]
    _wait_for_revision(fleet, _revision(fleet, "addis-1"))
    seen: list[int] = []
    node.control.run(_listen(node, seen))
    original, read_done, may_return = node._store.read, threading.Event(), threading.Event()

    def delayed_read(key: str) -> object:
        answer = original(key)
        if key == CONFIGURATION_KEY:
            read_done.set()
            may_return.wait(TIMEOUT_S)
        return answer

    monkeypatch.setattr(node._store, "read", delayed_read)
    with ThreadPoolExecutor(1) as pool:
        late_read = pool.submit(node.control.run, node._configuration_service.refresh())
        assert read_done.wait(TIMEOUT_S)
        revision = _edit(fleet, 4301)
        wait_for(lambda: _revision(fleet, "gondar-1") == revision, "the new revision", TIMEOUT_S)
        may_return.set()
        assert late_read.result(TIMEOUT_S) is not None
    assert _revision(fleet, "gondar-1") == revision
    assert seen == sorted(seen)
    assert seen[-1] == revision


async def _listen(node: EntryNode, seen: list[int]) -> None:
    node._configuration_holder.add_listener(
        lambda configuration: seen.append(configuration.revision)
    )


def test_watchers_do_not_read_the_whole_configuration_at_each_change(
    fleet: LocalFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against reading 0.95 MB per watcher and change at the target scale."""
    reads: list[str] = []
    for vm, node in fleet.nodes_by_vm.items():
        for name in ("read", "watch"):
            original = getattr(node._store, name)

            def counting_call(
                key: str, *rest: float, vm: str = vm, call: Callable[..., object] = original
            ) -> object:
                if key == CONFIGURATION_KEY:
                    reads.append(vm)
                return call(key, *rest)

            monkeypatch.setattr(node._store, name, counting_call)
    begin = time.monotonic()
    changes = 12
    for turn in range(changes):
        _wait_for_revision(fleet, _edit(fleet, 4400 + turn))
    # With jitter, fallback reads are at least half the fallback interval apart.
    allowed = 1 + (time.monotonic() - begin) / (MIN_FALLBACK_INTERVAL_S / 2)
    max_reads = max((reads.count(vm) for vm in fleet.nodes_by_vm), default=0)
    assert max_reads <= allowed


def test_large_documents_are_processed_outside_the_event_loop_thread(
    fleet: LocalFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against streams that pause for the second that encoding takes at the target scale."""
    threads_by_function: dict[str, set[str]] = {}
    for module, name in (
        (service_module, "encode_configuration"),
        (service_module, "decode_configuration"),
        (service_module, "_delta_bytes"),
        (handler_module, "parse_edit"),
        (handler_module, "configuration_text"),
    ):
        original = getattr(module, name)

        def recording_call(
            *args: object, name: str = name, call: Callable[..., object] = original
        ) -> object:
            thread = threading.current_thread().name
            threads_by_function.setdefault(name, set()).add(thread.split("-")[0])
            return call(*args)

        monkeypatch.setattr(module, name, recording_call)
    _wait_for_revision(fleet, _edit(fleet, 4501))
    node = fleet.nodes_by_vm[VmId("addis-1")]
    request = service_module.ConfigurationRequest(0)
    answer = node.control.run(node._configuration_service._handle_request(VmId("addis-2"), request))
    assert answer.encoded
    _wait_for_revision(fleet, _write_without_head(fleet, 4502))
    assert set(threads_by_function) == {
        "encode_configuration",
        "decode_configuration",
        "_delta_bytes",
        "parse_edit",
        "configuration_text",
    }
    assert set.union(*threads_by_function.values()) == {"blocking"}


@pytest.mark.parametrize(
    ("path", "size_bytes", "headers", "status"),
    [
        (f"{PATH}/check", 3 * MIB, {}, 200),
        (f"{PATH}/check", 9 * MIB, {}, 413),
        (f"{PATH}/check", 9 * MIB, {"Content-Encoding": "deflate"}, 200),
        (f"{PATH}/check", 3 * MIB, {"Authorization": "Bearer wrong"}, 413),
        ("/admin/v1/keys", 3 * MIB, {}, 413),
        ("/v1/chat/completions", 3 * MIB, {}, 413),
    ],
    ids=["large", "too large", "compressed", "no operator", "another request", "caller"],
)
def test_the_body_size_limit_depends_on_the_path_and_the_operator_token(
    fleet: LocalFleet, path: str, size_bytes: int, headers: dict[str, str], status: int
) -> None:
    """Guards against refusing edits of the target scale, and large bodies from anyone else."""
    document = _read(fleet, "addis-1")
    body = _body(document).ljust(size_bytes)
    if "Content-Encoding" in headers:
        body = zlib.compress(body)
    answer = _send(fleet, "POST", "addis-1", path, body=body, headers=headers)
    assert answer.status == status
    if status == 200:
        assert answer.json() == {"findings": []}


def test_a_vm_started_while_the_store_is_down_loads_the_configuration_from_peers() -> None:
    """Guards against a VM that cannot start, or that starts with an old configuration."""
    fleet = LocalFleet(example_configuration("authority"), seed=4)
    late_vm = VmId("mekele-2")
    try:
        fleet.standins.start()
        for vm in fleet.standins.configuration.vms_by_id:
            if vm != late_vm:
                fleet.start_vm(vm)
        revision = _edit(fleet, 4601)
        _wait_for_revision(fleet, revision)
        fleet.standins.store.faults.down = True
        fleet.start_vm(late_vm)
        assert _revision(fleet, late_vm) == revision
        assert _read(fleet, late_vm) == _read(fleet, "addis-1")
    finally:
        fleet.stop()


def test_operators_can_store_the_first_configuration_of_a_fleet() -> None:
    """Guards against VMs that accept no edits before they have a configuration."""
    fleet = LocalFleet(example_configuration("authority"), seed=5)
    vms = [VmId("addis-1"), VmId("gondar-1")]
    try:
        fleet.standins.start()
        fleet.standins.store.values_by_key.clear()
        with ThreadPoolExecutor(len(vms)) as pool:
            list(pool.map(fleet.start_vm, vms))
        assert _send(fleet, "GET", "addis-1", "/readyz").status == 503
        document = configuration_body(fleet.standins.configuration) | {"revision": 0}
        answer = _put(fleet, "addis-1", document)
        assert answer.status == 200, answer.data
        _wait_for_revision(fleet, answer.json()["revision"])
        assert _send(fleet, "GET", "gondar-1", "/readyz").status == 200
    finally:
        fleet.stop()
