"""Opens and cancels streams at engines from the event loop."""

from collections.abc import Callable

from .._identifiers import EndpointId
from .._tasks import BackgroundTasks
from ..configuration import Configuration
from ..gateway import ChatRequest, EndpointStream, NotSentError, engine_payload, open_stream
from ..routing import ChosenEndpoint
from ._blocking import BlockingCalls
from ._load_service import LoadService


class StreamOpener:
    """Implements the endpoint opener of the chat service; event loop thread only."""

    def __init__(
        self,
        current_configuration: Callable[[], Configuration],
        loads: LoadService,
        blocking: BlockingCalls,
        tasks: BackgroundTasks,
    ) -> None:
        """Create the opener; ``current_configuration`` returns the configuration in force."""
        self._current_configuration = current_configuration
        self._loads = loads
        self._blocking = blocking
        self._tasks = tasks

    def url_of(self, target: ChosenEndpoint) -> str:
        """Return the base URL of an endpoint; raises ``NotSentError`` if it has been removed."""
        url = self.find_url(target.endpoint)
        if url is None:
            raise NotSentError(f"endpoint {target.endpoint} is no longer in the inventory")
        return url

    def find_url(self, endpoint: EndpointId) -> str | None:
        """Return the base URL of an endpoint, or ``None`` if it has been removed."""
        found = self._current_configuration().endpoints_by_id.get(endpoint)
        return None if found is None else found.url

    async def open(
        self, target: ChosenEndpoint, chat: ChatRequest, resume_from: int
    ) -> EndpointStream:
        """Open a stream in a thread; raises ``EndpointError`` on failure."""
        return await self._blocking.run(
            open_stream,
            self.url_of(target),
            engine_payload(chat, str(target.version), resume_from),
            chat.run_id,
            target.priority,
        )

    def cancel(self, target: ChosenEndpoint, chat: ChatRequest) -> None:
        """Tell the endpoint in the background to cancel a run."""
        endpoint = self._current_configuration().endpoints_by_id.get(target.endpoint)
        if endpoint is not None:
            client = self._loads.client_of(endpoint)

            async def _cancel() -> None:
                # A failure is harmless: the engine also detects the closed connection.
                await self._blocking.run(client.cancel, chat.run_id)

            self._tasks.spawn(_cancel())
