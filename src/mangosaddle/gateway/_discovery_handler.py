"""Discovery of entry VMs and models."""

from collections.abc import Callable
from urllib.parse import parse_qs

from returns.result import Success

from .._identifiers import OrganisationId
from .._problems import Problem, RequestFinding
from ..configuration import Configuration
from ..keys import KeyRing
from ..orders import OrderIdIssuer
from ._interfaces import Allowances, Fleet
from ._messages import CallerRequest, CallerResponse
from ._refusals import refuse_key

DISCOVERY_VALID_S = 10
MAX_ORDER_IDS = 100


class DiscoveryHandler:
    """Handles ``GET /v1/entry-vms`` and ``GET /v1/models`` on the event loop."""

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        keys: KeyRing,
        allowances: Allowances,
        fleet: Fleet,
        issuer: OrderIdIssuer,
        wall_clock: Callable[[], float],
    ) -> None:
        """Create the handler; ``wall_clock`` returns Unix time in seconds."""
        self._configuration = configuration
        self._keys = keys
        self._allowances = allowances
        self._fleet = fleet
        self._issuer = issuer
        self._wall_clock = wall_clock

    async def entry_vms(self, request: CallerRequest) -> CallerResponse:
        """Return the entry VMs that a caller should use now.

        For a request with a key, the VMs that hold tokens of its organisation come first.
        """
        organisation: OrganisationId | None = None
        authorization = request.header("authorization")
        if authorization is not None:
            verified = self._keys.verify(authorization)
            if not isinstance(verified, Success):
                problem = refuse_key(verified.failure())
                return CallerResponse.from_problem(problem, request.request_id)
            organisation = verified.unwrap().organisation
        count = _order_id_count(request.query)
        if count is None or (count and organisation is None):
            return CallerResponse.from_problem(_invalid_count_problem(), request.request_id)
        holders = self._allowances.holders(organisation) if organisation is not None else ()
        vms = self._fleet.discovery(holders)
        return CallerResponse.from_json(
            {
                "vms": [
                    {"id": vm.id, "region": vm.region, "zone": vm.zone, "url": vm.url} for vm in vms
                ],
                "valid_for_s": DISCOVERY_VALID_S,
                "order_ids": list(self._issuer.issue(count, self._wall_clock())) if count else [],
            }
        )

    async def models(self, _request: CallerRequest) -> CallerResponse:
        """Return the models in the inventory."""
        names = sorted(self._configuration().versions_by_model)
        data = [{"id": name, "object": "model", "owned_by": "mangosaddle"} for name in names]
        return CallerResponse.from_json({"object": "list", "data": data})


def _order_id_count(query: str) -> int | None:
    values = parse_qs(query).get("order_ids", ["0"])
    if len(values) != 1 or not values[0].isascii() or not values[0].isdecimal():
        return None
    # Python refuses to convert thousands of digits.
    digits = values[0].lstrip("0") or "0"
    if len(digits) > len(str(MAX_ORDER_IDS)) or int(digits) > MAX_ORDER_IDS:
        return None
    return int(digits)


def _invalid_count_problem() -> Problem:
    message = f"must be a number up to {MAX_ORDER_IDS}, and needs a key"
    finding = RequestFinding(
        "query order_ids", message, "send ?order_ids=N with an Authorization header"
    )
    return Problem(400, "malformed-request", message, findings=(finding,))
