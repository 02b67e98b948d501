"""Exceptions of the configuration package."""

from .._exceptions import MangosaddleError


class ConfigurationError(MangosaddleError):
    """Base class of the exceptions of this package."""


class DecodeError(ConfigurationError):
    """The bytes are not an encoded configuration or delta."""


class TooLargeError(DecodeError):
    """The encoded or decompressed bytes exceed their limit."""


class SchemaVersionError(DecodeError):
    """The bytes have a schema version that this program does not support."""


class DigestError(ConfigurationError):
    """The content does not match its digest."""


class BaseMismatchError(ConfigurationError):
    """A delta was applied to a configuration of another revision than its base."""


class UnknownOrganisationError(ConfigurationError):
    """The organisation is not in the inventory."""


class UnknownKeyError(ConfigurationError):
    """The configuration has no key with this id."""


class KeyExistsError(ConfigurationError):
    """The key id is already used by an active or withdrawn key."""
