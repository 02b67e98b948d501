"""Requests beside which the records that this VM keeps of them fail."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from mangosaddle.entry import EntryProcess
from platform_standins import Behaviour, Fleet, run_on_default_fleet


def _fail(*_args: object, **_kwargs: object) -> None:
    raise RuntimeError("unexpected")


def _break(owner: Any, name: str) -> None:  # noqa: ANN401
    setattr(owner, name, _fail)


BREAKS: dict[str, Callable[[Any], None]] = {
    "start": lambda vm: _break(vm.rollouts, "record_start"),
    "progress": lambda vm: _break(vm.rollouts, "_publish_progress"),
    "end": lambda vm: _break(vm.rollouts, "record_end"),
    "crashes": lambda vm: _break(vm.crashes, "record_answer"),
    "statements": lambda vm: _break(vm.statements, "record_sent"),
    "answers": lambda vm: _break(vm._endpoint_client, "_record_answer"),
}


@pytest.mark.parametrize("place", BREAKS)
@pytest.mark.parametrize(
    ("path", "method"), [("/read/x", "GET"), ("/order/x", "POST"), ("/review/x", "POST")]
)
def test_a_request_is_answered_although_a_record_of_it_fails(
    place: str, path: str, method: str
) -> None:
    """Guards against requests that fail because a report about them cannot be built."""

    async def _scenario(fleet: Fleet) -> None:
        vm: EntryProcess = fleet.vms["vm-1"]
        for runner in fleet.runners.values():
            if runner.id.startswith("engine"):
                runner.behaviour = Behaviour.STREAM
        BREAKS[place](vm)
        calls = (fleet.call(vm, path, method=method, token_counts="10,28") for _ in range(3))
        answers = await asyncio.gather(*calls)
        assert [answer.status for answer in answers] == [200] * 3
        now = asyncio.get_running_loop().time()
        assert [view.load.running(now) for view in vm.endpoints.views()] == [0] * 4

    run_on_default_fleet(_scenario)
