"""Decoders of bytes from outside: any bytes give a value or the decoder's own error."""

import contextlib
import json
from collections.abc import Callable, Iterator
from typing import Any

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Result

from mangosaddle._identifiers import (
    EndpointId,
    Incarnation,
    OrganisationId,
    RegionName,
    ServiceName,
    VersionId,
    VmId,
    ZoneName,
)
from mangosaddle._prompt_crash_exchange import decode_cleared_at_s, decode_prompt_crash
from mangosaddle.coordination import VmRecord
from mangosaddle.entry._crash_reports import decode_crash_reports
from mangosaddle.entry._statement_exchange import decode_leaving, decode_limit, decode_rejections
from mangosaddle.entry._vm_reports import (
    FleetSummary,
    LoadRow,
    LoadSummary,
    ReportError,
    ServiceWait,
    VmReport,
    decode_fleet_summary,
    decode_load_summary,
    decode_unreached,
    decode_vm_report,
    encode_unreached,
)
from mangosaddle.platform import parse_settings
from mangosaddle.platform._configuration import decode_configuration
from mangosaddle.platform._registrations import decode_registration
from mangosaddle.platform._rollouts import decode_order, decode_status
from mangosaddle.rollouts import EvidenceError, OrderedRollout, RolloutOrder, RolloutPolicy

REGIONS_BY_ZONE = {ZoneName("east-a"): RegionName("east")}
ORDER = RolloutOrder(ServiceName("engine"), VersionId("v2"), 10.0, 7)


def _result(decoded: Result[Any, Any]) -> None:
    assert not isinstance(decoded, Failure) or decoded.failure()


def _decode_vm_record(data: bytes) -> None:
    try:
        record = VmRecord.decode(data)
    except ValueError:
        return
    assert type(record.peer_port) is int
    assert type(record.front_port) is int


def _decode_progress(data: bytes) -> None:
    policy = RolloutPolicy.for_order(10.0, 0.1, 50.0)
    rollout = OrderedRollout(VmId("own"), ORDER, policy, 0.0, is_new=True)
    try:
        rollout.merge_progress(VmId("vm"), "i", data, 1.0)
    except EvidenceError:
        return


def _decode_limit(data: bytes) -> None:
    with contextlib.suppress(ValueError):
        decode_limit(data)


def _decode_rejections(data: bytes) -> None:
    with contextlib.suppress(ValueError):
        decode_rejections(data)


def _decode_leaving(data: bytes) -> None:
    with contextlib.suppress(ValueError):
        decode_leaving(data)


def _report(decode: Callable[[bytes], object]) -> Callable[[bytes], None]:
    def _decode(data: bytes) -> None:
        with contextlib.suppress(ReportError):
            decode(data)

    return _decode


DECODERS: dict[str, Callable[[bytes], object]] = {
    "settings": lambda data: _result(parse_settings("f", data.decode("utf-8", "replace"))),
    "configuration": lambda data: _result(decode_configuration(data)),
    "registration": lambda data: _result(decode_registration("servers/x", data, REGIONS_BY_ZONE)),
    "rollout_order": lambda data: _result(decode_order("op/rollout/engine", data, 1)),
    "rollout_status": lambda data: _result(decode_status("status/rollout/e", data)),
    "vm_record": _decode_vm_record,
    "rollout_progress": _decode_progress,
    "vm_report": _report(decode_vm_report),
    "load_summary": _report(decode_load_summary),
    "fleet_summary": _report(decode_fleet_summary),
    "unreached": _report(decode_unreached),
    "crash_reports": decode_crash_reports,
    "prompt_crash": decode_prompt_crash,
    "cleared_at": decode_cleared_at_s,
    "endpoint_limit": _decode_limit,
    "endpoint_rejections": _decode_rejections,
    "leaving_endpoint": _decode_leaving,
}
JSON_DECODERS = ("configuration", "registration", "rollout_order", "rollout_status", "vm_record")

scalars = st.one_of(
    st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=8), st.binary(max_size=8)
)
FIELDS = [
    "version",
    "routes",
    "services",
    "tenants",
    "limits",
    "service",
    "address",
    "zone",
    "slots",
    "state",
    "target",
    "duration_s",
    "peer_port",
    "front_port",
    "leaving",
    "born",
]
names = st.one_of(st.sampled_from(FIELDS), st.text(max_size=4))
plain_scalars = st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=8))


def _trees(leaves: st.SearchStrategy[Any]) -> st.SearchStrategy[Any]:
    return st.recursive(
        leaves,
        lambda inner: st.one_of(st.lists(inner, max_size=5), st.dictionaries(names, inner)),
        max_leaves=12,
    )


documents = st.one_of(
    st.binary(max_size=200),
    _trees(plain_scalars).map(lambda tree: json.dumps(tree).encode()),
    _trees(scalars).map(cbor2.dumps),
)


@pytest.mark.parametrize("name", DECODERS)
@settings(derandomize=True, deadline=None, max_examples=150)
@given(data=documents)
def test_any_bytes_give_a_value_or_the_decoders_own_error(name: str, data: bytes) -> None:
    """Guards against one malformed message that ends the task or the process that reads it."""
    DECODERS[name](data)


@pytest.mark.parametrize("name", DECODERS)
@pytest.mark.parametrize(
    "data",
    [
        b"[" * 100_000,
        b'{"a":' * 100_000,
        b"a = " + b"[" * 50_000,
        b"\x81" * 100_000,
        b"9" * 100_000,
        b'{"version":' + b"9" * 10_000 + b"}",
        cbor2.dumps([{"o": float("nan")}, {}, True]),
        cbor2.dumps([{"o": "x"}, {"s": 4}, True]),
        cbor2.dumps([{"o": 1.0}, {"s": [1, 2, 3]}, True]),
        cbor2.dumps({"e": [1, 2, 3, True]}),
        cbor2.dumps([["e", "soon"]]),
    ],
    ids=range(11),
)
def test_deep_or_mistyped_documents_are_rejected(name: str, data: bytes) -> None:
    """Guards against recursion, huge numbers and wrong types that the decoders did not expect."""
    DECODERS[name](data)


@pytest.mark.parametrize("number", ["Infinity", "NaN", "1e999"])
@pytest.mark.parametrize(
    ("name", "document"),
    [
        ("configuration", '{"version": 1, "services": [{"name": "s", "cold_per_s": NUMBER}]}'),
        ("configuration", '{"version": 1, "tenants": [{"name": "t", "rate_per_s": NUMBER}]}'),
        ("configuration", '{"version": 1, "limits": {"idle_timeout_ms": NUMBER}}'),
        (
            "registration",
            '{"service": "s", "address": "10.0.0.1:80", "zone": "east-a", "version": "1", '
            '"slots": 1, "state": "ready", "cold_remaining_ms": NUMBER}',
        ),
    ],
)
def test_numbers_that_are_not_finite_are_rejected(name: str, document: str, number: str) -> None:
    """Guards against endpoints that stay cold for ever and limits that compare with nothing."""
    data = document.replace("NUMBER", number).encode()
    decoded = (
        decode_configuration(data)
        if name == "configuration"
        else decode_registration("servers/x", data, REGIONS_BY_ZONE)
    )
    assert isinstance(decoded, Failure)


VM_RECORD = VmRecord(
    VmId("vm"), Incarnation("i"), RegionName("east"), ZoneName("east-a"), "127.0.0.1", 7600, 8221
)


@pytest.mark.parametrize("port", [True, False, "80", 0.5, 0, -1, 65_536, 10**9])
def test_port_of_a_vm_record_must_be_a_port_number(port: object) -> None:
    """Guards against ``true``, which Python takes for 1, and against ports that fail in a call."""
    fields = json.loads(VM_RECORD.encode()) | {"peer_port": port}
    with pytest.raises(ValueError, match="peer_port"):
        VmRecord.decode(json.dumps(fields).encode())


@pytest.mark.parametrize("name", ["vm", "incarnation", "region", "zone", "host"])
@pytest.mark.parametrize("text", ["", "\ud800"])
def test_text_of_a_vm_record_must_be_encodable(name: str, text: str) -> None:
    """Guards against one entry whose text fails wherever it is hashed or sent."""
    fields = json.loads(VM_RECORD.encode()) | {name: text}
    with pytest.raises(ValueError, match=name):
        VmRecord.decode(json.dumps(fields).encode())


LOAD_ROW = LoadRow(1, 2, 3, 4)
VALID_MESSAGES: dict[str, bytes] = {
    "vm_report": VmReport(
        1, 2, {EndpointId("e"): LOAD_ROW}, {OrganisationId("o"): 3.0}, True
    ).encode(),
    "load_summary": LoadSummary({1: 2}, {EndpointId("e"): LOAD_ROW}).encode(),
    "fleet_summary": FleetSummary(
        {1: 2},
        {OrganisationId("o"): 1.0},
        {ServiceName("s"): ServiceWait(1.0, 2, 3, 4)},
        frozenset([1]),
    ).encode(),
    "unreached": encode_unreached({ServiceName("s"): [1, 2]}),
    "crash_reports": cbor2.dumps([["fingerprint", "endpoint", 1.0]]),
    "prompt_crash": cbor2.dumps(["process", 1.0, [["a", "b"]]]),
    "cleared_at": cbor2.dumps(1.0),
    "endpoint_limit": cbor2.dumps(2.0),
    "rollout_progress": cbor2.dumps([ORDER.revision, 100, True, 0, b""]),
}
ODD_VALUES: list[object] = [
    10**400,
    -(10**400),
    2**64,
    1e308,
    float("inf"),
    float("nan"),
    -1,
    True,
    None,
    "",
    b"\xff",
    [],
    {},
    [[[]]],
]


def _with_one_odd_value(tree: Any) -> Iterator[Any]:  # noqa: ANN401
    yield from ODD_VALUES
    if isinstance(tree, list):
        for index, inner in enumerate(tree):
            for odd in _with_one_odd_value(inner):
                yield [*tree[:index], odd, *tree[index + 1 :]]
    elif isinstance(tree, dict):
        for key, inner in tree.items():
            yield from (tree | {key: odd} for odd in _with_one_odd_value(inner))


@pytest.mark.parametrize("name", VALID_MESSAGES)
def test_one_odd_value_in_a_message_of_another_vm_gives_the_decoders_own_error(name: str) -> None:
    """Guards against numbers that pass the type check and overflow in a conversion."""
    valid = VALID_MESSAGES[name]
    DECODERS[name](valid)
    for odd in _with_one_odd_value(cbor2.loads(valid)):
        DECODERS[name](cbor2.dumps(odd))
