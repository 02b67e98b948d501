"""Steps of the demo with their expected results."""

import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import urllib3

from .._identifiers import OrganisationId
from ..client import Client, ClientError, IncompleteAnswer, RefusedError
from ._local_fleet import LocalFleet

MODEL = "advisor"
QUESTION = [{"role": "user", "content": "How far does the tower clock drift?"}]
STREAM_TOKENS = 12
LONG_STREAM_TOKENS = 2000
RATE_TEST_REQUESTS = 60
RATE_TEST_MAX_TOKENS = 200
WITHDRAWAL_LIMIT_S = 4.0


@dataclass(frozen=True, slots=True)
class StepResult:
    """Expected and actual result of a step."""

    name: str
    expected: str
    actual: str
    passed: bool


def _client(fleet: LocalFleet, organisation: str, vm: str, deadline_s: float = 10.0) -> Client:
    key = fleet.standins.key_of(organisation)
    return Client([fleet.url(vm)], key, deadline_s=deadline_s)


def stream_chat(fleet: LocalFleet) -> StepResult:
    """Stream the answer to a short question."""
    with _client(fleet, "tower-trust", "addis-1") as client:
        options = {"max_tokens": STREAM_TOKENS}
        text = "".join(client.stream_chat(QUESTION, MODEL, options))
    words = len(text.split())
    return StepResult(
        "streamed chat",
        f"{STREAM_TOKENS} tokens and the end marker",
        f"{words} tokens: {text[:32]}...",
        words == STREAM_TOKENS,
    )


def read_clock_status(fleet: LocalFleet) -> StepResult:
    """Read the status of a clock with an idempotent request."""
    with _client(fleet, "tower-trust", "gondar-1") as client:
        response = client.read("orders", "/clocks/17")
    body = response.json()
    expected = "an answer of the region's own service"
    return StepResult("idempotent read", expected, str(body), body["service"] == "orders-2")


def order_twice(fleet: LocalFleet) -> StepResult:
    """Send the same correction order to two VMs."""
    bodies = []
    for vm in ("addis-1", "mekele-1"):
        with _client(fleet, "tower-trust", vm) as client:
            order = {"clock": 17, "seconds": 3}
            response = client.order("orders", "/corrections", order, "order-17")
            bodies.append(response.body)
    services = fleet.standins.services_by_id.values()
    executions = sum(service.executions_by_key["order-17"] for service in services)
    return StepResult(
        "order sent twice",
        "one execution, the same answer twice",
        f"{executions} execution, answers {'equal' if bodies[0] == bodies[1] else 'differ'}",
        executions == 1 and bodies[0] == bodies[1],
    )


def send_wrong_key(fleet: LocalFleet) -> StepResult:
    """Send a request with a key whose secret is wrong."""
    key = fleet.standins.key_of("tower-trust")[:-8] + "00000000"
    headers = {"Authorization": f"Bearer {key}"}
    body = {"model": MODEL, "messages": QUESTION}
    url = fleet.url("mekele-2") + "/v1/chat/completions"
    answer = urllib3.request("POST", url, headers=headers, json=body, retries=False)
    problem = answer.json()
    actual = f"{answer.status} {problem['detail']}, {problem['execution']}"
    passed = answer.status == 401 and problem["execution"] == "not_run"
    return StepResult("wrong key", "401, not_run", actual, passed)


def withdraw_key(fleet: LocalFleet) -> StepResult:
    """Withdraw a key through one VM while a caller streams with it through another."""
    first_token_received, stream_ended = threading.Event(), threading.Event()
    errors: list[Exception] = []

    def read() -> None:
        with _client(fleet, "station-clocks", "mekele-1", 2.0) as client:
            try:
                options = {"max_tokens": LONG_STREAM_TOKENS}
                for _ in client.stream_chat(QUESTION, MODEL, options):
                    first_token_received.set()
            except ClientError as error:
                errors.append(error)
        stream_ended.set()

    threading.Thread(target=read, daemon=True).start()
    first_token_received.wait(5.0)
    started = time.monotonic()
    key = fleet.standins.keys_by_organisation[OrganisationId("station-clocks")]
    answer = fleet.call_admin_api("DELETE", "addis-1", f"/admin/v1/keys/{key.id}")
    stream_ended.wait(WITHDRAWAL_LIMIT_S)
    elapsed_s = time.monotonic() - started
    confirmed = len(answer.json().get("confirmed", []))
    cut = bool(errors) and isinstance(errors[0], (IncompleteAnswer, RefusedError))
    return StepResult(
        "key withdrawn",
        f"open stream ended within {WITHDRAWAL_LIMIT_S:.0f} s",
        f"ended after {elapsed_s:.2f} s, in force at {confirmed} of 6 VMs",
        first_token_received.is_set()
        and cut
        and elapsed_s < WITHDRAWAL_LIMIT_S
        and confirmed == len(fleet.nodes_by_vm),
    )


def exceed_rate(fleet: LocalFleet) -> StepResult:
    """Exceed the rate of an organisation by concurrent requests through all VMs."""
    configuration = fleet.standins.configuration
    organisation = configuration.organisations_by_id[OrganisationId("cathedral-keepers")]
    key = fleet.standins.key_of(organisation.id)
    urls = [vm.url for vm in configuration.vms_by_id.values()]

    def send_chat(request_number: int) -> tuple[int, int]:
        url = f"{urls[request_number % len(urls)]}/v1/chat/completions"
        body = {"model": MODEL, "messages": QUESTION, "max_tokens": RATE_TEST_MAX_TOKENS}
        headers = {"Authorization": f"Bearer {key}"}
        answer = urllib3.request("POST", url, headers=headers, json=body, retries=False)
        used = answer.json()["usage"]["total_tokens"] if answer.status == 200 else 0
        return answer.status, used

    started = time.monotonic()
    with ThreadPoolExecutor(RATE_TEST_REQUESTS) as pool:
        answers = list(pool.map(send_chat, range(RATE_TEST_REQUESTS)))
    elapsed_s = time.monotonic() - started
    used = sum(tokens for _, tokens in answers)
    refused = sum(status == 429 for status, _ in answers)
    allowed = organisation.burst_tokens + organisation.rate_tokens_per_s * elapsed_s
    return StepResult(
        "organisation above its rate",
        "some 429, at most burst + rate",
        f"{used} of {allowed:.0f} tokens, {refused} of {RATE_TEST_REQUESTS} refused",
        refused > 0 and 0 < used <= allowed,
    )


STEPS: tuple[Callable[[LocalFleet], StepResult], ...] = (
    stream_chat,
    read_clock_status,
    order_twice,
    send_wrong_key,
    withdraw_key,
    exceed_rate,
)
