"""A VM that fetches configurations from others, and revisions that come meanwhile."""

import asyncio
import random
from dataclasses import replace
from typing import Any, cast

import pytest

from mangosaddle._identifiers import Incarnation, RegionName, VmId
from mangosaddle._tasks import BackgroundTasks
from mangosaddle.configuration import Configuration, encode_configuration
from mangosaddle.daemon._configuration_holder import ConfigurationHolder
from mangosaddle.daemon._configuration_service import (
    CONFIGURATION_KEY,
    CONFIGURATION_KIND,
    ConfigurationRequest,
    ConfigurationResponse,
    ConfigurationService,
)
from mangosaddle.demo import example_configuration
from mangosaddle.membership import Fact, FactTable

OTHER = VmId("vm-2")


class _Blocking:
    async def run(self, function: Any, *arguments: Any) -> Any:  # noqa: ANN401
        return function(*arguments)


class _Peers:
    """Links to one other VM, which answers with the latest revision that it has."""

    def __init__(self, configuration: Configuration) -> None:
        self.facts = FactTable([CONFIGURATION_KIND])
        self.revision = 0
        self.answers = asyncio.Event()
        self._configuration = configuration

    def linked_vms(self) -> list[VmId]:
        return [OTHER]

    async def request(
        self, _vm: VmId, _request: ConfigurationRequest, _timeout_s: float
    ) -> ConfigurationResponse:
        revision = self.revision
        encoded = encode_configuration(replace(self._configuration, revision=revision), "")
        await self.answers.wait()
        return ConfigurationResponse(revision, encoded)

    def publish(self, revision: int, service: ConfigurationService) -> None:
        """Let the fact of a revision without a delta arrive at the VM of the service."""
        kind = CONFIGURATION_KIND.name
        fact = Fact(kind, CONFIGURATION_KEY, OTHER, Incarnation("i"), 1, revision)
        self.facts.merge([fact], 0.0)
        service._handle_fact(fact)


@pytest.mark.parametrize("revisions", [(5, 6), (5, 6, 9)])
def test_a_revision_that_comes_during_a_fetch_is_fetched_as_well(revisions: tuple[int]) -> None:
    """Guards against a VM that stays at an older configuration until the next change."""

    async def _main() -> None:
        configuration = example_configuration("authority")
        peers, holder, tasks = _Peers(configuration), ConfigurationHolder(), BackgroundTasks()
        service = ConfigurationService(
            RegionName("east"),
            VmId("vm-1"),
            holder,
            cast(Any, peers),
            cast(Any, None),
            cast(Any, _Blocking()),
            tasks,
            random.Random(1),
        )
        for revision in revisions:
            # The request for the first one is answered only after the others have come.
            peers.revision = revision
            peers.publish(revision, service)
            await asyncio.sleep(0.01)
        peers.answers.set()
        async with asyncio.timeout(5.0):
            while holder.current.revision < revisions[-1]:
                await asyncio.sleep(0.01)
        await tasks.stop()

    asyncio.run(_main())
