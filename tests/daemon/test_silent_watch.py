"""The watch on the configuration when the store leaves watches unanswered."""

import asyncio
import random
from collections.abc import Iterator

import pytest
from prometheus_client import CollectorRegistry

from mangosaddle.daemon._blocking import BlockingCalls
from mangosaddle.daemon._configuration_head import HEAD_KEY, ConfigurationHead
from mangosaddle.daemon._configuration_watch import ConfigurationWatch, WatchCallbacks
from mangosaddle.providers import PlatformMetrics, StoreClient
from mangosaddle.standins import StandInHost, StoreStandIn, WatchSilence

MAX_PROPAGATION_S = 4.0
"""Target: all VMs apply a change within this time."""
SILENCES = [silence for silence in WatchSilence if silence is not WatchSilence.NONE]


@pytest.fixture
def store(standin_host: StandInHost) -> Iterator[tuple[StoreStandIn, StoreClient]]:
    """Store stand-in and a client of it."""
    standin = StoreStandIn()
    url = standin_host.serve(standin.application(), "127.0.0.1")
    client = StoreClient(url, PlatformMetrics.from_registry(CollectorRegistry()))
    yield standin, client
    client.close()


class _Follower:
    """A VM that watches the head and reads the configuration that it names."""

    def __init__(self, client: StoreClient) -> None:
        self.revision = 1
        self.watch = ConfigurationWatch(
            WatchCallbacks(
                is_watcher=lambda: True,
                revision=lambda: self.revision,
                newest_delta=lambda: b"",
                apply_delta=lambda _delta: None,
                read_configuration=self._read,
                report_store_answer=lambda _answered: None,
            ),
            client,
            BlockingCalls("test"),
            random.Random(1),
        )
        self._client = client

    async def _read(self) -> int | None:
        found = await asyncio.to_thread(self._client.read, HEAD_KEY)
        head = ConfigurationHead.from_entry(found.unwrap())
        assert head is not None
        self.revision = head.revision
        return 0

    async def wait_for(self, revision: int) -> None:
        """Wait until this VM has the revision."""
        async with asyncio.timeout(MAX_PROPAGATION_S):
            while self.revision < revision:
                await asyncio.sleep(0.01)


@pytest.mark.parametrize("silence_s", [0.05, 0.4, 2.0])
@pytest.mark.parametrize("silence", SILENCES)
def test_a_change_after_a_silence_of_the_watches_is_noticed(
    store: tuple[StoreStandIn, StoreClient], silence: WatchSilence, silence_s: float
) -> None:
    """Guards against a VM that waits for a dropped watch, and misses changes for 20 s."""
    standin, client = store

    async def _write_head(revision: int) -> None:
        value = ConfigurationHead(revision, b"").to_bytes(f"{revision}")
        entry = (await asyncio.to_thread(client.read, HEAD_KEY)).unwrap()
        index = entry.modify_index if entry is not None else 0
        (await asyncio.to_thread(client.compare_and_swap, HEAD_KEY, value, index)).unwrap()

    async def _main() -> None:
        follower = _Follower(client)
        await _write_head(1)
        task = asyncio.create_task(follower.watch.follow())
        await asyncio.sleep(0.3)
        standin.faults.watch_silence = silence
        # It ends the pending watch, so that the next one begins within the silence.
        await _write_head(2)
        await asyncio.sleep(silence_s)
        standin.faults.watch_silence = WatchSilence.NONE
        await _write_head(3)
        await follower.wait_for(3)
        task.cancel()

    asyncio.run(_main())
