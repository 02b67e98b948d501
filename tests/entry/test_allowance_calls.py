"""Allowances of a zone that is large enough to keep one bucket for each organisation."""

import asyncio

from mangosaddle.entry import EntryProcess
from platform_standins import (
    Fleet,
    RunnerStandIn,
    default_configuration,
    run_on_empty_fleet,
    wait_until,
)

VMS = 7
REQUEST_TOKENS = 200.0
"""Cost of a request without a prompt."""
LIMITED_KEY, LIMITED = "key-2", "bell"
"""Key and name of the organisation with 100 tokens a second and a burst of 1,000."""


async def _start(fleet: Fleet) -> list[EntryProcess]:
    await fleet.store.put("op/config", default_configuration())
    await fleet.add_runner(RunnerStandIn("desk-1", "desk", "east-a"))
    vms = [await fleet.add_vm(f"vm-{number}") for number in range(VMS)]
    await fleet.wait_until_ready()
    for vm in vms:
        await fleet.wait_for_endpoints(vm, "desk-1")
    await wait_until(lambda: len({_keepers(vm) for vm in vms}) == 1)
    await wait_until(lambda: len(_keepers(vms[0])) == 2)
    for vm in vms:
        node = vm.fleet.node
        assert node is not None
        await wait_until(lambda node=node: len(node.linked_vms()) == VMS - 1)
    return vms


def _keepers(vm: EntryProcess) -> tuple[str, ...]:
    return vm.allowances.keepers_of(LIMITED)  # type: ignore[arg-type]


def test_all_vms_of_a_zone_charge_one_bucket() -> None:
    """Guards against requests that are refused at one VM while others have tokens left."""

    async def _scenario(fleet: Fleet) -> None:
        vms = await _start(fleet)
        owner = fleet.vms[_keepers(vms[0])[0]]
        assert [vm for vm in vms if LIMITED in vm.allowances._buckets_by_id] == [owner]
        bucket = owner.allowances._buckets_by_id[LIMITED]  # type: ignore[index]
        bucket.rate_per_s, bucket.level = 1.0, 4.5 * REQUEST_TOKENS
        answers = [await fleet.call(vm, "/read/x", LIMITED_KEY) for vm in vms[:4]]
        assert {answer.status for answer in answers} == {200}
        assert bucket.level < REQUEST_TOKENS
        bucket.level = 0.0
        refused = await fleet.call(next(vm for vm in vms if vm is not owner), "/read/x", "key-2")
        assert refused.status == 429
        assert float(refused.header("Retry-After")) > 0.2

    run_on_empty_fleet(_scenario)


def test_request_that_did_not_run_is_refunded_at_the_owner() -> None:
    """Guards against an allowance that is used up by refusals."""

    async def _scenario(fleet: Fleet) -> None:
        vms = await _start(fleet)
        owner = fleet.vms[_keepers(vms[0])[0]]
        other = next(vm for vm in vms if vm is not owner)
        await fleet.store.remove("servers/desk-1")
        await wait_until(lambda: not other.endpoints.registry.registrations_by_id())
        bucket = owner.allowances._buckets_by_id[LIMITED]  # type: ignore[index]
        bucket.level, bucket.rate_per_s = 0.5 * bucket.capacity, 0.0
        before = bucket.level
        for _ in range(3):
            assert (await fleet.call(other, "/read/x", LIMITED_KEY)).status == 503
        await asyncio.sleep(0.1)
        assert bucket.level >= before

    run_on_empty_fleet(_scenario)


def test_deputy_is_asked_when_the_owner_is_lost() -> None:
    """Guards against an organisation that a zone refuses because one VM is gone."""

    async def _scenario(fleet: Fleet) -> None:
        vms = await _start(fleet)
        owner, deputy = _keepers(vms[0])
        await fleet.kill_vm(owner)
        other = next(vm for vm in vms if vm.settings.vm not in (owner, deputy))

        async def _is_served() -> bool:
            return (await fleet.call(other, "/read/x", LIMITED_KEY)).status == 200

        async with asyncio.timeout(3.0):
            while not await _is_served():
                await asyncio.sleep(0.05)

    run_on_empty_fleet(_scenario)
