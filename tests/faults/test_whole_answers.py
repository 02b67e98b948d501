"""P9 and P10: complete responses or accurate errors when engines and links fail."""

import threading
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3
from fault_callers import TIMEOUT_S, Answer, chat_body, send_chat

import mangosaddle.gateway._chat_service as chat_service
from mangosaddle._identifiers import EndpointId, RegionName, VmId
from mangosaddle.demo import LocalFleet, wait_for
from mangosaddle.standins import EngineFaults

pytest_plugins = ("fault_fleet",)

TOKENS = 60
LONG_TOKENS = 1_200
CALLERS = 12
LINK_LOSS_TIMEOUT_S = 18.0
"""The limit for a stalled response is 10 s, checked every second; the rest is a margin."""


def _set_engine_faults(fleet: LocalFleet, region: str, faults: EngineFaults) -> None:
    for name, engine in fleet.standins.engines_by_id.items():
        if fleet.standins.configuration.endpoints_by_id[EndpointId(name)].region == region:
            engine.faults = faults


def _is_complete_or_reported(answer: Answer, tokens: int) -> bool:
    if answer.complete:
        return answer.tokens == tokens and not answer.problem
    return bool(answer.problem) and (not answer.tokens or answer.execution == "unknown")


@pytest.mark.parametrize("fault", ["killed", "hung", "cut"])
def test_responses_are_complete_or_report_an_error_when_an_engine_fails(
    fleet: LocalFleet, monkeypatch: pytest.MonkeyPatch, fault: str
) -> None:
    """Guards against truncated responses that look complete, and against responses that hang."""
    monkeypatch.setattr(chat_service, "STALL_LIMIT_S", 1.0)
    engine = fleet.standins.engines_by_id[EndpointId("runner-1")]
    key = fleet.standins.key_of("tower-trust")
    started: set[int] = set()

    def stream(number: int) -> Answer:
        def on_token(count: int) -> None:
            if count > 4:
                started.add(number)

        return send_chat(
            fleet.url("addis-1"), key, chat_body(TOKENS, words=number + 1), on_token=on_token
        )

    with ThreadPoolExecutor(CALLERS) as pool:
        answers = [pool.submit(stream, number) for number in range(CALLERS)]
        wait_for(
            lambda: len(started) > CALLERS // 2, "half of the responses have started", TIMEOUT_S
        )
        engine.crashed = fault == "killed"
        engine.faults.hang_after_tokens = 8 if fault == "hung" else None
        engine.faults.cut_after_tokens = 8 if fault == "cut" else None
        results = [answer.result(2 * TIMEOUT_S) for answer in answers]
    assert all(_is_complete_or_reported(answer, TOKENS) for answer in results), results
    assert any(answer.complete for answer in results)


@pytest.mark.parametrize("condition", ["cut", "frozen"])
def test_a_forwarded_response_reports_an_error_when_its_link_fails(
    fleet: LocalFleet, condition: str
) -> None:
    """Guards against forwarded responses that hang or look complete after a link failure."""
    started, key = threading.Event(), fleet.standins.key_of("gondar-heritage")
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(
            send_chat, fleet.url("addis-1"), key, chat_body(LONG_TOKENS),
            on_token=lambda count: started.set() if count > 3 else None,
        )  # fmt: skip
        assert started.wait(TIMEOUT_S)
        _fail_links(fleet, "gondar", condition)
        result = answer.result(LINK_LOSS_TIMEOUT_S)
    assert not result.complete
    assert result.execution == "unknown"
    assert _is_complete_or_reported(result, LONG_TOKENS)


def _fail_links(fleet: LocalFleet, region: str, condition: str) -> None:
    if condition == "cut":
        fleet.standins.isolate(RegionName(region))
        return
    others = fleet.standins.configuration.regions() - {RegionName(region)}
    fleet.standins.links.conditions.frozen |= {frozenset({RegionName(region), o}) for o in others}


def test_a_forward_fails_fast_when_its_link_closes_before_the_response(fleet: LocalFleet) -> None:
    """Guards against a caller that waits for a minute because the lost link is not detected."""
    _set_engine_faults(fleet, "gondar", EngineFaults(hang_after_tokens=0))
    key = fleet.standins.key_of("gondar-heritage")
    node = fleet.nodes_by_vm[VmId("addis-1")]
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(send_chat, fleet.url("addis-1"), key, chat_body(TOKENS))
        wait_for(lambda: node.chat_service.open_relays == 1, "the forward is open", TIMEOUT_S)
        gondar = [fleet.nodes_by_vm[VmId(vm)] for vm in ("gondar-1", "gondar-2")]
        wait_for(lambda: sum(n.chat_service.open_relays for n in gondar) == 1, "running", TIMEOUT_S)
        fleet.standins.isolate(RegionName("gondar"))
        result = answer.result(LINK_LOSS_TIMEOUT_S)
    assert (result.status, result.execution) == (502, "unknown")


def test_not_run_is_not_reported_if_an_earlier_attempt_may_have_run(fleet: LocalFleet) -> None:
    """Guards against a ``not_run`` of the last attempt when an earlier attempt may have run."""
    engines = fleet.standins.engines_by_id
    _set_engine_faults(fleet, "mekele", EngineFaults(hang_after_tokens=0))
    key = fleet.standins.key_of("station-clocks")
    before = sum(sum(e.requests_by_version.values()) for e in engines.values())
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(send_chat, fleet.url("mekele-1"), key, chat_body(TOKENS))
        engine = engines[EndpointId("runner-5")]
        wait_for(lambda: engine.running > 0, "the engine has the request", TIMEOUT_S)
        fleet.standins.isolate(RegionName("mekele"))
        engine.crashed = True
        result = answer.result(2 * TIMEOUT_S)
    assert sum(sum(e.requests_by_version.values()) for e in engines.values()) > before
    assert result.complete or result.execution == "unknown", result


def test_a_shared_request_id_does_not_mix_up_requests(fleet: LocalFleet) -> None:
    """Guards against responses and cancellations that reach another caller's request.

    Callers choose ``X-Request-Id``, so two of them can use the same id at the same time.
    """
    first_key = fleet.standins.key_of("tower-trust")
    second_key = fleet.standins.key_of("station-clocks")
    engine = fleet.standins.engines_by_id[EndpointId("runner-5")]
    with ThreadPoolExecutor(2) as pool:
        started = threading.Event()
        answer = pool.submit(
            send_chat, fleet.url("mekele-1"), first_key, chat_body(LONG_TOKENS // 4), "same-id",
            lambda count: started.set() if count > 3 else None,
        )  # fmt: skip
        assert started.wait(TIMEOUT_S)
        cancelled = len(engine.cancelled)
        response = urllib3.request(
            "POST", fleet.url("mekele-2") + "/v1/chat/completions",
            headers={"Authorization": f"Bearer {second_key}", "X-Request-Id": "same-id"},
            json=chat_body(LONG_TOKENS), retries=False, preload_content=False, timeout=TIMEOUT_S,
        )  # fmt: skip
        assert response.read1()
        response.close()
        wait_for(
            lambda: len(engine.cancelled) > cancelled, "the second request is cancelled", TIMEOUT_S
        )
        result = answer.result(TIMEOUT_S)
    assert (result.complete, result.tokens) == (True, LONG_TOKENS // 4), result


def test_an_unexpected_error_is_reported_at_once(
    fleet: LocalFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a caller that waits for a minute because a task of its request failed."""

    def _fail(*_args: object) -> None:
        raise RuntimeError("unexpected")

    monkeypatch.setattr(fleet.nodes_by_vm[VmId("addis-1")].chat_service, "_connect_forward", _fail)
    key = fleet.standins.key_of("gondar-heritage")
    answer = send_chat(fleet.url("addis-1"), key, chat_body(TOKENS))
    assert (answer.status, answer.execution) == (502, "unknown")
