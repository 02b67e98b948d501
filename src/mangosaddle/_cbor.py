"""Decoding of CBOR that another process has written."""

import cbor2


class InvalidCborError(ValueError):
    """The bytes are not valid CBOR."""


def decode_cbor(encoded: bytes) -> object:
    """Return the first value in the bytes; raises ``InvalidCborError`` only."""
    try:
        value: object = cbor2.loads(encoded)
    # Constructors of tagged values raise errors of their own, and nesting exhausts the stack.
    except Exception as error:
        raise InvalidCborError(f"invalid CBOR: {type(error).__name__}") from error
    return value
