"""Calls to the platform that are the duty of one VM at a time, and settings that enable them."""

import asyncio
import json

import pytest

from mangosaddle._identifiers import OrganisationId, ServiceName, VmId, ZoneName
from mangosaddle.duties import CallOutcome
from mangosaddle.platform._duties import PlatformDutyCalls
from mangosaddle.platform._settings import parse_settings
from platform_standins import DutyFault, DutyStandIn

HOLDER = VmId("vm-1")
COUNTS = {OrganisationId("acme"): 3}
SETTINGS = """
node_name = "vm-1"
ip = "127.0.0.1"
zone = "east-a"
region = "east"
internal_ports = [7600, 7615]
[zones]
east-a = "east"
[listen]
front = "127.0.0.1:8221"
[platform]
address = "127.0.0.1:8225"
minimum_ttl_ms = 1000
[bounds]
lease_ms = 500
usage_window_s = 5
usage_late_s = 10
"""
CLOUD = """
[cloud]
address = "127.0.0.1:8226"
duties = {duties}
duty_per_s = 50.0
"""


async def _report(calls: PlatformDutyCalls, token: int, *, may_send: bool = True) -> CallOutcome:
    return await calls.report_usage(HOLDER, token, 7, COUNTS, lambda: may_send)


@pytest.mark.parametrize(
    ("fault", "outcome", "executed"),
    [
        (DutyFault.NONE, CallOutcome.ACCEPTED, 1),
        (DutyFault.ANSWER_LOST, CallOutcome.UNKNOWN, 1),
        (DutyFault.LATE, CallOutcome.UNKNOWN, 0),
        (DutyFault.TOO_MANY, CallOutcome.POSTPONED, 0),
        (DutyFault.RESET, CallOutcome.UNKNOWN, 0),
        (DutyFault.SILENT, CallOutcome.UNKNOWN, 0),
    ],
)
def test_the_outcome_says_what_is_known_of_a_call(
    fault: DutyFault, outcome: CallOutcome, executed: int
) -> None:
    """Guards against a call that may have been executed and counts as not executed."""

    async def _main() -> None:
        platform = DutyStandIn()
        calls = PlatformDutyCalls(await platform.start())
        platform.fault = fault
        assert await _report(calls, 5) is outcome
        assert len(platform.accepted) == executed
        calls.close()
        await platform.stop()

    asyncio.run(_main())


def test_calls_carry_holder_and_token_and_a_lower_token_is_told_apart() -> None:
    """Guards against calls that the platform cannot fence."""

    async def _main() -> None:
        platform = DutyStandIn()
        calls = PlatformDutyCalls(await platform.start())
        assert await _report(calls, 9) is CallOutcome.ACCEPTED
        assert await _report(calls, 8) is CallOutcome.SUPERSEDED
        order = (HOLDER, 3, ServiceName("engine"), ZoneName("east-a"), 6, lambda: True)
        assert await calls.order_endpoints(*order) is CallOutcome.ACCEPTED
        usage, scale = platform.accepted
        assert (usage.holder, usage.token, usage.path) == (HOLDER, 9, "/usage")
        assert usage.body == {"window_number": 7, "counts": COUNTS}
        assert (scale.token, scale.path) == (3, "/scale")
        assert scale.body == {"service": "engine", "zone": "east-a", "desired_count": 6}
        calls.close()
        await platform.stop()
        assert await _report(calls, 10) is CallOutcome.NOT_SENT

    asyncio.run(_main())


def test_a_claim_that_lapses_while_the_connection_is_opened_sends_nothing() -> None:
    """Guards against a call that is sent after the lease has ended."""

    async def _main() -> None:
        platform = DutyStandIn()
        calls = PlatformDutyCalls(await platform.start())
        assert await _report(calls, 5, may_send=False) is CallOutcome.NOT_SENT
        assert platform.accepted == []
        calls.close()
        await platform.stop()

    asyncio.run(_main())


@pytest.mark.parametrize(
    ("duties", "expected"),
    [
        (["usage"], (True, False)),
        (["scaling", "other"], (False, True)),
        (["usage", "scaling"], (True, True)),
        (["other"], None),
        ([], None),
    ],
)
def test_settings_enable_duties_by_name(
    duties: list[str], expected: tuple[bool, bool] | None
) -> None:
    """Guards against duties on deployments that do not ask for them."""
    parsed = parse_settings("file", SETTINGS + CLOUD.format(duties=json.dumps(duties))).unwrap()
    settings = parsed.duties
    if expected is None:
        assert settings is None
        return
    assert settings is not None
    assert (settings.reports_usage, settings.orders_endpoints) == expected
    # The store grants no shorter lease than its minimum.
    assert (settings.lease_s, settings.calls_per_s) == (1.0, 50.0)


def test_settings_without_duties_and_limits_are_those_of_before() -> None:
    """Guards against earlier deployments that are served in another way."""
    settings = parse_settings("file", SETTINGS).unwrap()
    assert settings.duties is None
    assert (settings.vm_limits.memory_bytes, settings.vm_limits.descriptors) == (None, None)


def test_limits_of_the_vm_are_read() -> None:
    """Guards against room for clients that does not follow the memory of the VM."""
    limits = "[limits]\nmemory_mb = 160\nfile_descriptors = 1638\n"
    settings = parse_settings("file", SETTINGS + limits).unwrap()
    assert settings.vm_limits.memory_bytes == 160 * 1024 * 1024
    assert settings.vm_limits.descriptors == 1638


def test_an_address_of_duties_that_is_wrong_is_named() -> None:
    """Guards against a duty that is never done because of a typing error."""
    text = SETTINGS + '[cloud]\naddress = "nowhere"\nduties = ["usage"]\n'
    findings = parse_settings("file", text).failure()
    assert [finding.place for finding in findings] == ["cloud.address"]
