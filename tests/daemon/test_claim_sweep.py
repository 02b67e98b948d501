"""Tests of the sweep of expired claims against the store stand-in."""

import asyncio
import random

import pytest
from prometheus_client import CollectorRegistry

from mangosaddle._identifiers import Incarnation, OrganisationId, ServiceName, VmId
from mangosaddle._tasks import BackgroundTasks
from mangosaddle.configuration import Configuration, Organisation, Service
from mangosaddle.daemon._blocking import BlockingCalls
from mangosaddle.daemon._claim_sweep import ClaimSweep
from mangosaddle.membership import VmIdentity
from mangosaddle.orders import Claim, ClaimState, claim_key, encode_claim
from mangosaddle.peers import PeerNode, PeerSettings
from mangosaddle.providers import PlatformMetrics, StoreClient
from mangosaddle.standins import StandInHost, StoredValue, StoreStandIn

OWN, ORGANISATION, SERVICE = VmId("addis-1"), OrganisationId("trust"), ServiceName("orders")
NOW_S = 1_000_000.0
DAY_S = 86_400.0


def _claim(expires_s: float) -> bytes:
    claim = Claim(
        ClaimState.CLAIMED, "n", OWN, Incarnation("i"), "digest", expires_s - DAY_S, expires_s
    )
    return encode_claim(claim)


@pytest.mark.parametrize("store_is_down", [False, True])
def test_only_expired_claims_are_deleted_and_none_while_the_store_is_down(
    standin_host: StandInHost, store_is_down: bool
) -> None:
    """Guards against expired claims filling the store and against deleting valid claims."""
    store = StoreStandIn()
    expiries = {"old": NOW_S - DAY_S, "just over": NOW_S - 10.0, "in force": NOW_S + 10.0}
    for index, (name, expires_s) in enumerate(expiries.items(), start=2):
        key = claim_key(ORGANISATION, SERVICE, name)
        store.seed(key, StoredValue(_claim(expires_s), index, index))
    store.faults.down = store_is_down
    url = standin_host.serve(store.application(), "127.0.0.1")

    async def _sweep() -> int:
        registry, clock = CollectorRegistry(), [0.0]
        settings = PeerSettings(VmIdentity(OWN, Incarnation("i"), 1), "f", b"s", "127.0.0.1", 0)
        configuration = Configuration(
            1,
            organisations_by_id={ORGANISATION: Organisation(ORGANISATION, 1.0, 1.0)},
            services_by_name={SERVICE: Service(SERVICE, frozenset())},
        )
        peers = PeerNode(settings, {}, (), registry, random.Random(1))
        peers.membership.live_vms = lambda region=None: frozenset({OWN})  # type: ignore[method-assign]
        client = StoreClient(url, PlatformMetrics.from_registry(registry))
        blocking = BlockingCalls("sweep")
        sweep = ClaimSweep(
            OWN,
            lambda: configuration,
            peers,
            client,
            blocking,
            BackgroundTasks(),
            lambda: clock[0],
            lambda: NOW_S,
        )
        sweep.assign()
        clock[0] = DAY_S
        await sweep.step()
        blocking.stop()
        return sweep.deleted_count

    deleted_count = asyncio.run(_sweep())
    expected_keys = {claim_key(ORGANISATION, SERVICE, name) for name in expiries}
    if not store_is_down:
        expected_keys.discard(claim_key(ORGANISATION, SERVICE, "old"))
    assert deleted_count == (0 if store_is_down else 1)
    assert set(store.values_by_key) == expected_keys
