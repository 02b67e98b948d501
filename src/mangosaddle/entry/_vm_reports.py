"""Reports of VMs about load and demand, their sums over a zone, and their encoding."""

import zlib
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field
from typing import Any, TypeVar

import cbor2

from .._cbor import InvalidCborError, decode_cbor
from .._identifiers import EndpointId, Incarnation, OrganisationId, ServiceName, VmId

MAX_COUNT = 2**48
"""Bound of the numbers in a report; anything larger is an error of the sender."""

T = TypeVar("T")
Key = TypeVar("Key")


class ReportError(ValueError):
    """A report cannot be decoded."""


@dataclass(frozen=True, slots=True)
class LoadRow:
    """Load that one or more VMs have on an endpoint."""

    running: int
    unread_tokens: int
    memory_tokens: int
    time_per_token_us: int
    """Mean over the VMs that have seen tokens recently; 0 if none has."""
    timed_vms: int = 1
    """Number of VMs in that mean."""

    def __add__(self, other: "LoadRow") -> "LoadRow":
        """Return the load of both."""
        own_weight = self.timed_vms if self.time_per_token_us else 0
        other_weight = other.timed_vms if other.time_per_token_us else 0
        weight = own_weight + other_weight
        total_us = self.time_per_token_us * own_weight + other.time_per_token_us * other_weight
        return LoadRow(
            self.running + other.running,
            self.unread_tokens + other.unread_tokens,
            self.memory_tokens + other.memory_tokens,
            round(total_us / weight) if weight else 0,
            max(1, weight),
        )

    def without(self, other: "LoadRow") -> "LoadRow":
        """Return the load that remains without a part of it; the mean time stays."""
        return LoadRow(
            max(0, self.running - other.running),
            max(0, self.unread_tokens - other.unread_tokens),
            max(0, self.memory_tokens - other.memory_tokens),
            self.time_per_token_us,
            self.timed_vms,
        )


@dataclass(frozen=True, slots=True)
class ServiceWait:
    """Load of a service in a region, at the endpoint that a request from elsewhere would get."""

    wait_s: float
    endpoints: int
    """Number of usable endpoints."""
    time_per_token_us: int
    running: int


@dataclass(frozen=True, slots=True)
class VmReport:
    """What one VM reports about itself."""

    number: int
    """Number of the report within the VM's incarnation."""
    identity: int
    """Hash of the VM and its incarnation."""
    loads_by_endpoint: Mapping[EndpointId, LoadRow] = field(default_factory=dict)
    demand_by_organisation: Mapping[OrganisationId, float] = field(default_factory=dict)
    """Requested cost per second."""
    is_watching: bool = False
    """Whether the VM watches the store and reaches it."""
    unreached: frozenset[ServiceName] = frozenset()
    """Services of which the VM reaches no endpoint of its region; sent apart from the report."""

    def encode(self) -> bytes:
        """Return the report as CBOR, in the form that VMs of earlier versions decode."""
        values = [
            self.number,
            self.identity,
            _encode_loads(self.loads_by_endpoint),
            _encode_demand(self.demand_by_organisation),
            self.is_watching,
        ]
        return cbor2.dumps(values)


@dataclass(frozen=True, slots=True)
class LoadSummary:
    """Load that the VMs of a zone have on the endpoints of their region."""

    numbers_by_identity: Mapping[int, int]
    """Number of the report of each VM that the sums include."""
    loads_by_endpoint: Mapping[EndpointId, LoadRow]

    def encode(self) -> bytes:
        """Return the summary as CBOR."""
        return cbor2.dumps([dict(self.numbers_by_identity), _encode_loads(self.loads_by_endpoint)])


@dataclass(frozen=True, slots=True)
class FleetSummary:
    """Demand and state of the VMs of a zone, and the waits of its region."""

    numbers_by_identity: Mapping[int, int]
    """Number of the report of each VM that the sums include."""
    demand_by_organisation: Mapping[OrganisationId, float]
    waits_by_service: Mapping[ServiceName, ServiceWait]
    watching: frozenset[int] = frozenset()
    """Identities of the VMs that watch the store and reach it."""
    unreached_by_service: Mapping[ServiceName, frozenset[int]] = field(default_factory=dict)
    """Identities of the VMs that reach no endpoint of a service in their region; sent apart from
    the summary, but part of it in one earlier version."""

    def encode(self) -> bytes:
        """Return the summary as CBOR, in the form that VMs of earlier versions decode."""
        waits = {
            service: [wait.wait_s, wait.endpoints, wait.time_per_token_us, wait.running]
            for service, wait in self.waits_by_service.items()
        }
        values = [
            dict(self.numbers_by_identity),
            _encode_demand(self.demand_by_organisation),
            waits,
            sorted(self.watching),
        ]
        return cbor2.dumps(values)


def encode_unreached(unreached_by_service: Mapping[ServiceName, Collection[int]]) -> bytes:
    """Return the identities of the VMs that reach no endpoint of a service as CBOR."""
    unreached = unreached_by_service.items()
    return cbor2.dumps({service: sorted(identities) for service, identities in unreached})


def identity_hash(vm: VmId, incarnation: Incarnation) -> int:
    """Return a 32-bit number for a VM's incarnation, which is much shorter than its names."""
    return zlib.crc32(f"{vm} {incarnation}".encode())


def decode_vm_report(payload: bytes) -> VmReport:
    """Decode the report of a VM; raises ``ReportError``."""
    values = _decode_list(payload, 5, 6)
    number, identity, loads, demand, watching = values[:5]
    return VmReport(
        _integer(number),
        _integer(identity),
        _loads(loads),
        _demand(demand),
        bool(watching),
        frozenset(map(_service_name, _list(values[5]))) if len(values) > 5 else frozenset(),
    )


def decode_load_summary(payload: bytes) -> LoadSummary:
    """Decode the load of a zone; raises ``ReportError``."""
    numbers, loads = _decode_list(payload, 2)
    return LoadSummary(_mapping(numbers, _integer, _integer), _loads(loads))


def decode_fleet_summary(payload: bytes) -> FleetSummary:
    """Decode the demand and the waits of a zone; raises ``ReportError``."""
    values = _decode_list(payload, 4, 5)
    numbers, demand, waits, watching = values[:4]
    unreached = values[4] if len(values) > 4 else {}
    return FleetSummary(
        _mapping(numbers, _integer, _integer),
        _demand(demand),
        _mapping(waits, _service_name, _service_wait),
        _identities(watching),
        _mapping(unreached, _service_name, _identities),
    )


def decode_unreached(payload: bytes) -> dict[ServiceName, frozenset[int]]:
    """Decode the VMs that reach no endpoint of a service; raises ``ReportError``."""
    return _mapping(_decode(payload), _service_name, _identities)


def _encode_loads(loads_by_endpoint: Mapping[EndpointId, LoadRow]) -> dict[str, list[int]]:
    return {
        endpoint: [
            row.running,
            row.unread_tokens,
            row.memory_tokens,
            row.time_per_token_us,
            row.timed_vms,
        ]
        for endpoint, row in loads_by_endpoint.items()
    }


def _encode_demand(demand_by_organisation: Mapping[OrganisationId, float]) -> dict[str, int]:
    return {name: round(rate) for name, rate in demand_by_organisation.items()}


def _decode(payload: bytes) -> object:
    try:
        return decode_cbor(payload)
    except InvalidCborError as error:
        raise ReportError(str(error)) from error


def _decode_list(payload: bytes, *lengths: int) -> list[Any]:
    content = _decode(payload)
    if not isinstance(content, list) or len(content) not in lengths:
        expected = " or ".join(map(str, lengths))
        raise ReportError(f"a list of {expected} values expected")
    return content


def _list(content: object) -> list[Any]:
    if not isinstance(content, list):
        raise ReportError("a list expected")
    return content


def _identities(content: object) -> frozenset[int]:
    return frozenset(map(_integer, _list(content)))


def _mapping(
    content: object, read_key: Callable[[object], Key], read_value: Callable[[object], T]
) -> dict[Key, T]:
    if not isinstance(content, dict):
        raise ReportError("a map expected")
    return {read_key(key): read_value(value) for key, value in content.items()}


def _integer(value: object) -> int:
    if type(value) is not int or not 0 <= value <= MAX_COUNT:
        raise ReportError(f"{str(value)[:40]!r} is not a number from 0 to {MAX_COUNT}")
    return value


def _amount(value: object) -> float:
    # Converting a large integer fails, so it is compared as it is; NaN is in no range.
    if type(value) not in (int, float) or not 0 <= value <= MAX_COUNT:  # type: ignore[operator]
        raise ReportError(f"{str(value)[:40]!r} is not an amount from 0 to {MAX_COUNT}")
    return float(value)  # type: ignore[arg-type]


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise ReportError("a name must be text")
    return value


def _service_name(value: object) -> ServiceName:
    return ServiceName(_text(value))


def _loads(content: object) -> dict[EndpointId, LoadRow]:
    return _mapping(content, lambda key: EndpointId(_text(key)), _load_row)


def _load_row(value: object) -> LoadRow:
    if not isinstance(value, list) or len(value) != 5:
        raise ReportError("a load must be a list of 5 numbers")
    return LoadRow(*map(_integer, value))


def _demand(content: object) -> dict[OrganisationId, float]:
    return _mapping(content, lambda key: OrganisationId(_text(key)), _amount)


def _service_wait(value: object) -> ServiceWait:
    if not isinstance(value, list) or len(value) != 4:
        raise ReportError("a wait must be a list of 4 numbers")
    wait_s, endpoints, time_per_token_us, running = value
    return ServiceWait(
        _amount(wait_s), _integer(endpoints), _integer(time_per_token_us), _integer(running)
    )
