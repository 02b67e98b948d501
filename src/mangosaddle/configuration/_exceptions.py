"""Errors of the package."""

from .._exceptions import MangosaddleError


class ConfigurationError(MangosaddleError):
    """Base class of the errors of this package."""


class DecodeError(ConfigurationError):
    """Bytes are not an encoded configuration or delta."""


class TooLargeError(DecodeError):
    """Decompressed bytes exceed the limit."""


class SchemaVersionError(DecodeError):
    """The bytes are of a schema version that this program does not know."""


class DigestError(ConfigurationError):
    """The content does not match its digest."""


class BaseMismatchError(ConfigurationError):
    """A delta does not start at the revision or content that it was applied to."""


class UnknownOrganisationError(ConfigurationError):
    """The organisation is not in the inventory."""


class UnknownKeyError(ConfigurationError):
    """The configuration has no key of this id."""


class KeyExistsError(ConfigurationError):
    """The key id is taken, by an active or by a withdrawn key."""
