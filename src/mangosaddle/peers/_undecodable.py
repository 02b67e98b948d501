"""Messages of forwarded requests that cannot be decoded, as from a VM of another version."""

from collections.abc import Callable
from dataclasses import dataclass

from ._codec import MAX_INTEGER, decode_items
from ._exceptions import DecodeError

RESPONSE_NUMBER_POSITIONS = {"fh": 3, "fc": 2, "fe": 4}
"""Position of the number of the forwarded request in an encoded part of its response."""
REQUEST_NUMBER_POSITION = 1
"""The same in a message of the VM that forwards the request."""


@dataclass(frozen=True, slots=True)
class UndecodableOpen:
    """First frame of a forwarded request."""

    number: int


@dataclass(frozen=True, slots=True)
class UndecodableBody:
    """Part of the body of a forwarded request."""

    number: int


@dataclass(frozen=True, slots=True)
class UndecodableCancel:
    """Cancellation of a forwarded request."""

    number: int


@dataclass(frozen=True, slots=True)
class UndecodableCredit:
    """Flow-control credit of a forwarded request."""

    number: int


@dataclass(frozen=True, slots=True)
class UndecodableResponse:
    """Part or end of the response to a forwarded request."""

    number: int
    execution: str
    """``not_run`` if this is an end that says so, otherwise ``unknown``."""


UndecodableForward = (
    UndecodableOpen | UndecodableBody | UndecodableCancel | UndecodableCredit | UndecodableResponse
)
REQUEST_TYPES: dict[str, Callable[[int], UndecodableForward]] = {
    "fo": UndecodableOpen,
    "fb": UndecodableBody,
    "fx": UndecodableCancel,
    "fg": UndecodableCredit,
}


def read_undecodable(encoded: bytes) -> UndecodableForward | None:
    """Return what is known of a message that cannot be decoded.

    Returns ``None`` if it belongs to no forwarded request, such as a message that only later
    versions know. Raises ``DecodeError`` if it is not known to which request it belongs.
    """
    items = decode_items(encoded)
    name = items[0]
    if name in REQUEST_TYPES:
        return REQUEST_TYPES[name](_number_at(items, REQUEST_NUMBER_POSITION))
    if name in RESPONSE_NUMBER_POSITIONS:
        number = _number_at(items, RESPONSE_NUMBER_POSITIONS[name])
        is_refusal = name == "fe" and items[1] is False and items[2] == "not_run"
        return UndecodableResponse(number, "not_run" if is_refusal else "unknown")
    return None


def _number_at(items: list[object], position: int) -> int:
    number = items[position] if position < len(items) else None
    if type(number) is not int or not 0 <= number <= MAX_INTEGER:
        raise DecodeError("number of the forwarded request expected")
    return number
