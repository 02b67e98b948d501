"""Answers to requests whose handling fails or is cancelled from inside a VM."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

import pytest

from mangosaddle.entry import EntryProcess
from platform_standins import Behaviour, Fleet, run_on_default_fleet


def _fail(*_args: object, **_kwargs: object) -> None:
    raise RuntimeError("unexpected")


async def _reset(*_args: object, **_kwargs: object) -> None:
    raise ConnectionResetError("not the caller's connection")


async def _await_cancelled_future(*_args: object, **_kwargs: object) -> None:
    future = asyncio.get_running_loop().create_future()
    future.cancel()
    await future


def _replace(owner: object, name: str, function: Callable[..., Any]) -> None:
    setattr(owner, name, function)


def _replace_wire(vm: EntryProcess, name: str, function: Callable[..., Any]) -> None:
    """Replace one function of the codec, which is shared by all VMs of the process."""
    handler = vm.request_handler
    original = handler._wire

    class _Wire:
        def __getattr__(self, attribute: str) -> Any:  # noqa: ANN401
            return function if attribute == name else getattr(original, attribute)

    handler._wire = _Wire()


@pytest.mark.parametrize(
    "break_vm",
    [
        lambda vm: _replace_wire(vm, "decode_request", _fail),
        lambda vm: _replace(vm.allowance_calls, "admit", _await_cancelled_future),
        lambda vm: _replace(vm.allowance_calls, "admit", _reset),
        lambda vm: _replace(vm.pause_guard, "wait_until_current", _fail),
    ],
    ids=["decoding", "cancelled_charge", "reset_charge", "pause"],
)
def test_a_request_whose_admission_fails_is_refused(
    break_vm: Callable[[EntryProcess], None],
) -> None:
    """Guards against a closed connection in place of a refusal."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        break_vm(vm)
        answer = await fleet.call(vm, "/read/x")
        assert answer.status == 503
        assert json.loads(answer.body)["execution"] == "not_run"
        assert not any(runner.runs_by_request_id for runner in fleet.runners.values())

    run_on_default_fleet(_scenario)


@pytest.mark.parametrize("failure", [_await_cancelled_future, _reset], ids=["cancelled", "reset"])
def test_a_request_whose_attempt_is_cancelled_from_inside_is_answered(
    failure: Callable[..., Any],
) -> None:
    """Guards against taking every cancelled wait and every reset for a caller that has left."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        _replace(vm.runner, "run", failure)
        answer = await fleet.call(vm, "/order/x", method="POST", body=b"one")
        assert answer.status == 502
        assert json.loads(answer.body)["execution"] == "unknown"

    run_on_default_fleet(_scenario)


@pytest.mark.parametrize("place", ["refund", "record_end"])
def test_a_refusal_is_sent_although_its_accounting_fails(place: str) -> None:
    """Guards against a closed connection when an organisation's bucket is gone at the end."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        for runner in fleet.runners.values():
            runner.behaviour = Behaviour.REJECT
        if place == "refund":
            _replace(vm.allowance_calls, "refund", _fail)
        else:
            _replace(vm.request_handler._latency, "labels", _fail)
        answer = await fleet.call(vm, "/read/x")
        assert answer.status == 503
        assert json.loads(answer.body)["execution"] == "not_run"

    run_on_default_fleet(_scenario)
