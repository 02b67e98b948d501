"""What an adapter of a wire format offers to the entry process."""

from typing import Protocol

from returns.result import Result

from .._problems import RequestFinding
from ..http11 import HeaderList, HeaderView, ResponseHead, ServerExchange, UpstreamRequest
from ..traffic import EndpointAnswer, OpaqueRequest, Prompt, Registration


class WireFormat(Protocol):
    """Translates between HTTP messages and the project's types; a module may implement it."""

    def decode_request(
        self, exchange: ServerExchange
    ) -> Result[OpaqueRequest, tuple[RequestFinding, ...]]:
        """Decode a caller's request; all faults are reported together."""
        ...

    def decode_request_id(self, view: HeaderView) -> str:
        """Return the id of a request, also of a faulty one."""
        ...

    def decode_prompt(self, headers: HeaderList) -> Prompt | None:
        """Return the prompt of a request that has been checked."""
        ...

    def encode_request(
        self,
        request: OpaqueRequest,
        registration: Registration,
        organisation: str | None,
        urgency: int,
        left_s: float,
        resume_after: int | None,
    ) -> UpstreamRequest:
        """Return the request as an endpoint gets it."""
        ...

    def decode_answer(self, head: ResponseHead) -> EndpointAnswer:
        """Decode the head of an endpoint's answer."""
        ...

    def encode_health_check(self, path: str, registration: Registration) -> UpstreamRequest:
        """Return the health check of an endpoint."""
        ...

    def decode_health_answer(
        self, head: ResponseHead, registration: Registration
    ) -> tuple[bool, float]:
        """Return whether it was the endpoint that answered, and how long it is cold in seconds."""
        ...

    def encode_refusal_headers(self, request_id: str, retry_after_s: float | None) -> HeaderList:
        """Return the headers of an own refusal."""
        ...
