"""Interface between the entry process and the codec of a wire format."""

from typing import Protocol

from returns.result import Result

from .._problems import RequestFinding
from ..http11 import HeaderList, HeaderView, ResponseHead, ServerExchange, UpstreamRequest
from ..traffic import EndpointAnswer, OpaqueRequest, Prompt, Registration


class WireFormat(Protocol):
    """Translates between HTTP messages and internal types; a module may implement it."""

    def decode_request(
        self, exchange: ServerExchange
    ) -> Result[OpaqueRequest, tuple[RequestFinding, ...]]:
        """Decode a caller's request; a failure holds the findings for all its faults."""
        ...

    def decode_request_id(self, view: HeaderView) -> str:
        """Return the id of a request, even if the request is malformed."""
        ...

    def decode_prompt(self, headers: HeaderList) -> Prompt | None:
        """Return the prompt of a request that has already been validated, if it has one."""
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
        """Encode a request for an endpoint; ``left_s`` is the time until its deadline."""
        ...

    def decode_answer(self, head: ResponseHead) -> EndpointAnswer:
        """Decode the head of an endpoint's answer."""
        ...

    def encode_health_check(self, path: str, registration: Registration) -> UpstreamRequest:
        """Encode the health check of an endpoint."""
        ...

    def decode_health_answer(
        self, head: ResponseHead, registration: Registration
    ) -> tuple[bool, float]:
        """Decode the head of the answer to a health check.

        Returns whether the endpoint itself answered, and the seconds for which it stays cold.
        """
        ...

    def encode_refusal_headers(self, request_id: str, retry_after_s: float | None) -> HeaderList:
        """Encode the headers of a refusal that this VM sends itself."""
        ...
