"""CBOR codec for registered data classes."""

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
"""Maximum size of a frame, including its header."""
MAX_MESSAGE_BYTES = MAX_FRAME_BYTES - 64
"""Maximum size of an encoded message; leaves room for the sequence number and the MAC."""
MAX_INTEGER = 2**64 - 1
"""Largest absolute value of an integer.

Larger ones would be encoded as CBOR bignums, which are expensive to convert.
"""

_Reader = Callable[[object, str], Any]
_Writer = Callable[[Any, str], object]


@dataclass(frozen=True, slots=True)
class _Converter:
    read: _Reader
    """Validates a decoded value; raises ``DecodeError`` with the path of the field."""
    write: _Writer
    """Converts a field to plain CBOR data; raises ``EncodeError`` with the path of the field."""
    plain_type: type[Any] | None = None
    """Type of the values that are encoded as they are, integers within ``MAX_INTEGER``."""


class Codec:
    """Encodes instances of registered data classes as arrays ``[name, field, field, ..]``.

    Fields are encoded by position, because field names would double the size of a heartbeat.
    Messages with missing, surplus or wrongly typed fields are rejected.
    """

    def __init__(self) -> None:
        """Create a codec without registered types."""
        self._types_by_name: dict[str, type[Any]] = {}
        self._names_by_type: dict[type[Any], str] = {}
        self._converters_by_type: dict[type[Any], _Converter] = {}

    def register(self, name: str, message_type: type[Any]) -> None:
        """Register a frozen data class under a short name; registering it twice is allowed.

        Raises ``RegistrationError`` if the name or type is already registered, or if the type or
        one of its field types is unsupported.
        """
        if self._types_by_name.get(name) is message_type:
            return
        if name in self._types_by_name or message_type in self._names_by_type:
            raise RegistrationError(f"{name!r} or {message_type.__name__} is already registered")
        if not dataclasses.is_dataclass(message_type):
            raise RegistrationError(f"{message_type.__name__} is not a data class")
        self._converter_for(message_type, name)
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
        """Decode a message; raises only ``DecodeError``."""
        name, *fields = decode_items(encoded)
        message_type = self._types_by_name.get(name)
        if message_type is None:
            raise DecodeError(f"unknown message {name[:40]!r}")
        return self._converters_by_type[message_type].read(fields, name)

    def _converter_for(self, annotation: Any, path: str) -> _Converter:  # noqa: ANN401
        while hasattr(annotation, "__supertype__"):
            annotation = annotation.__supertype__
        if annotation in _SCALAR_CONVERTERS:
            return _SCALAR_CONVERTERS[annotation]
        if dataclasses.is_dataclass(annotation) and isinstance(annotation, type):
            return self._record_converter(annotation, path)
        origin, arguments = get_origin(annotation), get_args(annotation)
        if origin is tuple and len(arguments) == 2 and arguments[1] is Ellipsis:
            return _tuple_converter(self._converter_for(arguments[0], path))
        if origin in (Union, types.UnionType) and len(arguments) == 2 and type(None) in arguments:
            inner = arguments[0] if arguments[1] is type(None) else arguments[1]
            return _optional_converter(self._converter_for(inner, path))
        raise RegistrationError(f"{path}: type {annotation} is not supported")

    def _record_converter(self, record_type: type[Any], path: str) -> _Converter:
        cached = self._converters_by_type.get(record_type)
        if cached is not None:
            return cached
        parameters = getattr(record_type, "__dataclass_params__", None)
        if parameters is None or not parameters.frozen:
            raise RegistrationError(f"{path}: {record_type.__name__} is not frozen")
        hints = get_type_hints(record_type)
        names = tuple(field.name for field in dataclasses.fields(record_type))
        converters = {name: self._converter_for(hints[name], f"{path}.{name}") for name in names}
        converter = _record_converter(record_type, converters)
        self._converters_by_type[record_type] = converter
        return converter


def decode_items(encoded: bytes) -> list[Any]:
    """Return the name of a message and its plain fields; raises only ``DecodeError``."""
    if len(encoded) > MAX_MESSAGE_BYTES:
        raise DecodeError(f"{len(encoded)} B exceed the limit of {MAX_MESSAGE_BYTES} B")
    items = _decode_cbor(encoded)
    if not isinstance(items, list) or not items or not isinstance(items[0], str):
        raise DecodeError("a message must be an array that starts with its name")
    return items


def _decode_cbor(encoded: bytes) -> object:
    decoder = cbor2.CBORDecoder(io.BytesIO(encoded))
    try:
        value: object = decoder.decode()
    # The decoder does not wrap exceptions of tagged-value constructors, such as decimal errors.
    except Exception as error:
        raise DecodeError(f"invalid CBOR: {type(error).__name__}") from error
    try:
        decoder.read(1)
    except cbor2.CBORDecodeEOF:
        return value
    raise DecodeError("unexpected bytes after the message")


def _scalar_converter(plain_type: type[Any]) -> _Converter:
    def _read(value: object, path: str) -> object:
        if type(value) is not plain_type:
            raise DecodeError(f"{path}: {plain_type.__name__} expected")
        return value

    def _write(value: object, path: str) -> object:
        if not isinstance(value, plain_type):
            raise EncodeError(f"{path}: {plain_type.__name__} expected")
        return plain_type(value)

    return _Converter(_read, _write, plain_type)


def _integer_converter() -> _Converter:
    def _read(value: object, path: str) -> int:
        if type(value) is not int or not -MAX_INTEGER <= value <= MAX_INTEGER:
            raise DecodeError(f"{path}: int of 64 bits expected")
        return value

    def _write(value: object, path: str) -> int:
        if not isinstance(value, int) or isinstance(value, bool) or abs(value) > MAX_INTEGER:
            raise EncodeError(f"{path}: int of 64 bits expected")
        return value

    return _Converter(_read, _write, int)


def _float_converter() -> _Converter:
    """Return a float converter that also encodes integers, as the type checker allows."""
    plain = _scalar_converter(float)

    def _write(value: object, path: str) -> float:
        if not isinstance(value, (int, float)) or isinstance(value, bool):
            raise EncodeError(f"{path}: float expected")
        return float(value)

    return _Converter(plain.read, _write, float)


def _tuple_converter(item: _Converter) -> _Converter:
    def _read(value: object, path: str) -> tuple[object, ...]:
        if not isinstance(value, list):
            raise DecodeError(f"{path}: array expected")
        return tuple([item.read(element, path) for element in value])

    def _write(value: object, path: str) -> list[object]:
        if not isinstance(value, tuple):
            raise EncodeError(f"{path}: tuple expected")
        return [item.write(element, path) for element in value]

    return _Converter(_read, _write)


def _optional_converter(inner: _Converter) -> _Converter:
    return _Converter(
        lambda value, path: None if value is None else inner.read(value, path),
        lambda value, path: None if value is None else inner.write(value, path),
    )


def _record_converter(record_type: type[Any], converters: dict[str, _Converter]) -> _Converter:
    readers = [(conv.plain_type, conv.read, f".{name}") for name, conv in converters.items()]
    writers = [(conv.plain_type, conv.write, name) for name, conv in converters.items()]

    # Most fields are plain values that need no conversion; the paths only matter in errors.
    def _read(value: object, path: str) -> object:
        if not isinstance(value, list) or len(value) != len(readers):
            raise DecodeError(f"{path}: {len(readers)} fields expected")
        pairs = zip(readers, value, strict=True)
        return record_type(
            *[
                item
                if type(item) is plain_type
                and (plain_type is not int or -MAX_INTEGER <= item <= MAX_INTEGER)
                else read(item, path + suffix)
                for (plain_type, read, suffix), item in pairs
            ]
        )

    def _write(value: object, path: str) -> list[object]:
        if type(value) is not record_type:
            raise EncodeError(f"{path}: {record_type.__name__} expected")
        return [
            item
            if type(item := getattr(value, name)) is plain_type
            and (plain_type is not int or -MAX_INTEGER <= item <= MAX_INTEGER)
            else write(item, name)
            for plain_type, write, name in writers
        ]

    return _Converter(_read, _write)


_SCALAR_CONVERTERS: dict[Any, _Converter] = {
    str: _scalar_converter(str),
    bytes: _scalar_converter(bytes),
    bool: _scalar_converter(bool),
    int: _integer_converter(),
    float: _float_converter(),
}

CODEC = Codec()
"""The codec for all messages between VMs."""


def register(name: str, message_type: type[Any]) -> None:
    """Register a data class with ``CODEC``; see ``Codec.register``."""
    CODEC.register(name, message_type)
