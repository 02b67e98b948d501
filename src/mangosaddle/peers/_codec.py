"""CBOR codec of registered data classes."""

import dataclasses
import io
import types
import typing
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Union, get_args, get_origin, get_type_hints

import cbor2

from ._exceptions import DecodeError, EncodeError, RegistrationError

MAX_FRAME_BYTES = 1024 * 1024
"""Size of a peer frame, header included."""
MAX_MESSAGE_BYTES = MAX_FRAME_BYTES - 64
"""Size of an encoded message, so that sequence number and MAC fit into the frame."""
MAX_INTEGER = 2**64 - 1
"""Largest integer magnitude: larger ones travel as big numbers that cost time to convert."""

_Reader = Callable[[object, str], Any]
_Writer = Callable[[Any, str], object]


@dataclass(frozen=True, slots=True)
class _Converter:
    read: _Reader
    """Validates a decoded value; raises ``DecodeError`` with the place."""
    write: _Writer
    """Converts a field to plain CBOR data; raises ``EncodeError`` with the place."""


class Codec:
    """Encodes each registered data class as the array ``[name, field, field, ..]``.

    Fields travel by position, because field names would double the size of a heartbeat. A message
    with too many, too few or wrongly typed fields is refused.
    """

    def __init__(self) -> None:
        """Create a codec without types."""
        self._types_by_name: dict[str, type[Any]] = {}
        self._names_by_type: dict[type[Any], str] = {}
        self._converters_by_type: dict[type[Any], _Converter] = {}

    def register(self, name: str, message_type: type[Any]) -> None:
        """Register a frozen data class under a short name; repeating a registration is allowed.

        Raises ``RegistrationError`` if the name or type is taken, or a field type is unsupported.
        """
        if self._types_by_name.get(name) is message_type:
            return
        if name in self._types_by_name or message_type in self._names_by_type:
            raise RegistrationError(f"{name!r} or {message_type.__name__} is already registered")
        if not dataclasses.is_dataclass(message_type):
            raise RegistrationError(f"{message_type.__name__} is no data class")
        self._converter(message_type, name)
        self._types_by_name[name] = message_type
        self._names_by_type[message_type] = name

    def encode(self, message: object) -> bytes:
        """Encode a message; raises ``EncodeError``."""
        name = self._names_by_type.get(type(message))
        if name is None:
            raise EncodeError(f"{type(message).__name__} is not registered")
        fields = self._converters_by_type[type(message)].write(message, name)
        try:
            encoded: bytes = cbor2.dumps([name, *typing.cast(list[object], fields)])
        except (cbor2.CBOREncodeError, UnicodeEncodeError) as error:
            raise EncodeError(f"{name}: no valid text") from error
        if len(encoded) > MAX_MESSAGE_BYTES:
            raise EncodeError(f"{name}: {len(encoded)} B exceed {MAX_MESSAGE_BYTES} B")
        return encoded

    def decode(self, encoded: bytes) -> object:
        """Decode a message; raises ``DecodeError`` and nothing else."""
        if len(encoded) > MAX_MESSAGE_BYTES:
            raise DecodeError(f"{len(encoded)} B exceed {MAX_MESSAGE_BYTES} B")
        items = _load(encoded)
        if not isinstance(items, list) or not items or not isinstance(items[0], str):
            raise DecodeError("a message is an array that starts with its name")
        message_type = self._types_by_name.get(items[0])
        if message_type is None:
            raise DecodeError(f"unknown message {items[0][:40]!r}")
        return self._converters_by_type[message_type].read(items[1:], items[0])

    def _converter(self, annotation: Any, place: str) -> _Converter:  # noqa: ANN401
        while hasattr(annotation, "__supertype__"):
            annotation = annotation.__supertype__
        if annotation in _PLAIN:
            return _PLAIN[annotation]
        if dataclasses.is_dataclass(annotation) and isinstance(annotation, type):
            return self._record(annotation, place)
        origin, arguments = get_origin(annotation), get_args(annotation)
        if origin is tuple and len(arguments) == 2 and arguments[1] is Ellipsis:
            return _sequence(self._converter(arguments[0], place))
        if origin in (Union, types.UnionType) and len(arguments) == 2 and type(None) in arguments:
            present = arguments[0] if arguments[1] is type(None) else arguments[1]
            return _optional(self._converter(present, place))
        raise RegistrationError(f"{place}: type {annotation} is not supported")

    def _record(self, record_type: type[Any], place: str) -> _Converter:
        known = self._converters_by_type.get(record_type)
        if known is not None:
            return known
        parameters = getattr(record_type, "__dataclass_params__", None)
        if parameters is None or not parameters.frozen:
            raise RegistrationError(f"{place}: {record_type.__name__} is not frozen")
        hints = get_type_hints(record_type)
        names = tuple(field.name for field in dataclasses.fields(record_type))
        converters = {name: self._converter(hints[name], f"{place}.{name}") for name in names}
        converter = _record(record_type, converters)
        self._converters_by_type[record_type] = converter
        return converter


def _load(encoded: bytes) -> object:
    decoder = cbor2.CBORDecoder(io.BytesIO(encoded))
    try:
        value: object = decoder.decode()
    # The decoder passes on whatever constructors of tagged values raise, such as decimal errors.
    except Exception as error:
        raise DecodeError(f"no valid CBOR: {type(error).__name__}") from error
    try:
        decoder.read(1)
    except cbor2.CBORDecodeEOF:
        return value
    raise DecodeError("bytes follow the message")


def _plain(plain_type: type[Any]) -> _Converter:
    def _read(value: object, place: str) -> object:
        if type(value) is not plain_type:
            raise DecodeError(f"{place}: {plain_type.__name__} expected")
        return value

    def _write(value: object, place: str) -> object:
        if not isinstance(value, plain_type):
            raise EncodeError(f"{place}: {plain_type.__name__} expected")
        return plain_type(value)

    return _Converter(_read, _write)


def _integer() -> _Converter:
    def _read(value: object, place: str) -> int:
        if type(value) is not int or not -MAX_INTEGER <= value <= MAX_INTEGER:
            raise DecodeError(f"{place}: int of 64 bits expected")
        return value

    def _write(value: object, place: str) -> int:
        if not isinstance(value, int) or isinstance(value, bool) or abs(value) > MAX_INTEGER:
            raise EncodeError(f"{place}: int of 64 bits expected")
        return value

    return _Converter(_read, _write)


def _number() -> _Converter:
    """Accept integers for floats when encoding, as the type checker does."""
    plain = _plain(float)

    def _write(value: object, place: str) -> float:
        if not isinstance(value, (int, float)) or isinstance(value, bool):
            raise EncodeError(f"{place}: float expected")
        return float(value)

    return _Converter(plain.read, _write)


def _sequence(item: _Converter) -> _Converter:
    def _read(value: object, place: str) -> tuple[object, ...]:
        if not isinstance(value, list):
            raise DecodeError(f"{place}: array expected")
        return tuple(item.read(element, place) for element in value)

    def _write(value: object, place: str) -> list[object]:
        if not isinstance(value, tuple):
            raise EncodeError(f"{place}: tuple expected")
        return [item.write(element, place) for element in value]

    return _Converter(_read, _write)


def _optional(present: _Converter) -> _Converter:
    return _Converter(
        lambda value, place: None if value is None else present.read(value, place),
        lambda value, place: None if value is None else present.write(value, place),
    )


def _record(record_type: type[Any], converters: dict[str, _Converter]) -> _Converter:
    def _read(value: object, place: str) -> object:
        if not isinstance(value, list) or len(value) != len(converters):
            raise DecodeError(f"{place}: {len(converters)} fields expected")
        pairs = zip(converters.items(), value, strict=True)
        return record_type(*(conv.read(item, f"{place}.{name}") for (name, conv), item in pairs))

    def _write(value: object, place: str) -> list[object]:
        if type(value) is not record_type:
            raise EncodeError(f"{place}: {record_type.__name__} expected")
        return [conv.write(getattr(value, name), name) for name, conv in converters.items()]

    return _Converter(_read, _write)


_PLAIN: dict[Any, _Converter] = {
    str: _plain(str),
    bytes: _plain(bytes),
    bool: _plain(bool),
    int: _integer(),
    float: _number(),
}

CODEC = Codec()
"""Codec of all messages between VMs."""


def register(name: str, message_type: type[Any]) -> None:
    """Register a data class with the codec of all messages; see ``Codec.register``."""
    CODEC.register(name, message_type)
