"""Names of organisations that a header cannot hold as they are."""

import asyncio

import pytest

from platform_standins import Fleet, default_configuration, run_on_default_fleet, tenant, wait_until


@pytest.mark.parametrize(
    ("name", "header"),
    [
        ("acme 2", "acme 2"),
        ("\u4f01\u696d", "\u4f01\u696d"),
        ("a\u20acb", "a\u20acb"),
        ("acme\r\nTenant: bell", "acme%0D%0ATenant: bell"),
        (" acme\t", "%20acme%09"),
        ("a\x00b\x7f", "a%00b%7F"),
        ("", ""),
    ],
)
def test_requests_of_an_organisation_run_whatever_its_name(name: str, header: str) -> None:
    """Guards against a change of the configuration after which no request of a key runs."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        changed = default_configuration(2, tenants=[tenant(name, "key-1")])
        during = asyncio.gather(*(fleet.call(vm, "/read/x") for _ in range(8)))
        await fleet.store.put("op/config", changed)
        await wait_until(lambda: vm.catalogue.version == 2)
        assert [answer.status for answer in await during] == [200] * 8
        for path, method in (("/read/x", "GET"), ("/order/x", "POST")):
            answer = await fleet.call(vm, path, method=method)
            assert answer.status == 200
            seen = max(
                (row for runner in fleet.runners.values() for row in runner.received_requests),
                key=lambda row: int(row.headers["request-id"].rpartition("-")[2]),
            )
            assert seen.headers["tenant"] == header

    run_on_default_fleet(_scenario)
