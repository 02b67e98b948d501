"""Encoding of the operator's rollout orders and of the rollout states that it reads."""

import json

import pytest
from returns.result import Failure, Success

from mangosaddle._identifiers import ServiceName, VersionId
from mangosaddle.platform._rollouts import (
    decode_order,
    decode_status,
    encode_status,
    service_of_order_key,
    status_key,
)
from mangosaddle.rollouts import RolloutOrder, RolloutRecord, RolloutState

KEY = "op/rollout/engine"
STATUS_KEY = "status/rollout/engine"
ORDER = {"service": "engine", "target": "v2", "duration_s": 12.5}
ENGINE = ServiceName("engine")
V2 = VersionId("v2")


def test_an_order_is_decoded_with_the_revision_that_identifies_it() -> None:
    """Guards against mixed-up fields, and against an order without its revision."""
    decoded = decode_order(KEY, json.dumps(ORDER | {"unknown": 1}).encode(), 17)
    assert decoded == Success(RolloutOrder(ENGINE, V2, 12.5, 17))


def test_a_duration_may_be_an_integer() -> None:
    """Guards against rejecting an order whose duration has no decimal point."""
    decoded = decode_order(KEY, json.dumps(ORDER | {"duration_s": 12}).encode(), 17)
    assert decoded == Success(RolloutOrder(ENGINE, V2, 12.0, 17))


@pytest.mark.parametrize(
    ("value", "places"),
    [
        (b"", ["is not JSON"]),
        (b"\xff\x00", ["is not JSON"]),
        (b"[" * 100_000, ["is not JSON"]),
        (b"[]", [""]),
        (b"{}", ["service", "target", "duration_s"]),
        (json.dumps(ORDER | {"service": "desk"}).encode(), ["service"]),
        (json.dumps(ORDER | {"target": ""}).encode(), ["target"]),
        (json.dumps(ORDER | {"target": 2}).encode(), ["target"]),
        (json.dumps(ORDER | {"duration_s": 0}).encode(), ["duration_s"]),
        (json.dumps(ORDER | {"duration_s": "12"}).encode(), ["duration_s"]),
        (json.dumps(ORDER | {"duration_s": True}).encode(), ["duration_s"]),
        (json.dumps(ORDER | {"duration_s": float("nan")}).encode(), ["duration_s"]),
        (json.dumps(ORDER | {"duration_s": float("inf")}).encode(), ["duration_s"]),
        (
            json.dumps({"service": "desk", "target": None, "duration_s": -1}).encode(),
            ["service", "target", "duration_s"],
        ),
    ],
)
def test_an_invalid_order_is_rejected_with_all_its_errors(value: bytes, places: list[str]) -> None:
    """Guards against a rollout that was not ordered, and against one reported error per attempt."""
    decoded = decode_order(KEY, value, 17)
    assert isinstance(decoded, Failure)
    assert [fault.partition(":")[0] for fault in decoded.failure().split("; ")] == places


@pytest.mark.parametrize(
    ("key", "service"),
    [
        (KEY, "engine"),
        ("op/rollout/", None),
        ("op/rollouts/engine", None),
        ("op/config", None),
        (STATUS_KEY, None),
    ],
)
def test_only_order_keys_name_a_service(key: str, service: str | None) -> None:
    """Guards against treating another operator key as an order."""
    assert service_of_order_key(key) == service
    assert isinstance(decode_order(key, json.dumps(ORDER).encode(), 17), Success) is bool(service)


@pytest.mark.parametrize(
    ("state", "word"),
    [
        (RolloutState.IN_PROGRESS, "running"),
        (RolloutState.COMPLETED, "completed"),
        (RolloutState.REVERTED, "rolled_back"),
    ],
)
def test_a_state_is_encoded_in_the_operators_terms_and_decoded_again(
    state: RolloutState, word: str
) -> None:
    """Guards against a wrong state, on which the operator would stop the wrong endpoints."""
    record = RolloutRecord(ENGINE, V2, state, 17, 1_700_000_000.5)
    value = encode_status(record)
    assert json.loads(value).items() >= {"state": word, "target": "v2"}.items()
    assert status_key(ENGINE) == STATUS_KEY
    assert decode_status(STATUS_KEY, value) == Success(record)


def test_a_state_without_optional_fields_is_decoded() -> None:
    """Guards against overwriting another writer's state because it lacks optional fields."""
    value = json.dumps({"state": "completed", "target": "v2"}).encode()
    decoded = decode_status(STATUS_KEY, value)
    assert decoded == Success(RolloutRecord(ENGINE, V2, RolloutState.COMPLETED, 0, 0.0))


@pytest.mark.parametrize(
    ("key", "value", "places"),
    [
        (STATUS_KEY, b"running", ["is not JSON"]),
        (STATUS_KEY, b"{}", ["state", "target"]),
        (STATUS_KEY, b'{"state": "late", "target": "v2"}', ["state"]),
        (
            STATUS_KEY,
            b'{"state": 1, "target": "", "order": -1, "began_at_s": "x"}',
            ["state", "target", "order", "began_at_s"],
        ),
        (STATUS_KEY, b'{"state": "running", "target": "v2", "order": 1.5}', ["order"]),
        ("status/rollout/", b'{"state": "running", "target": "v2"}', ["key"]),
        (KEY, b'{"state": "running", "target": "v2"}', ["key"]),
    ],
)
def test_an_invalid_state_is_rejected_with_all_its_errors(
    key: str, value: bytes, places: list[str]
) -> None:
    """Guards against a fleet that follows a corrupt state."""
    decoded = decode_status(key, value)
    assert isinstance(decoded, Failure)
    assert [fault.partition(":")[0] for fault in decoded.failure().split("; ")] == places


@pytest.mark.parametrize("state", [RolloutState.PLANNED, RolloutState.LATE])
def test_a_state_that_the_operator_does_not_know_cannot_be_recorded(state: RolloutState) -> None:
    """Guards against a state whose error shows only when it is written."""
    with pytest.raises(ValueError, match="is not recorded"):
        RolloutRecord(ENGINE, V2, state, 17, 0.0)
