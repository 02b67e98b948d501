"""Exceptions of the membership package."""

from .._exceptions import MangosaddleError


class MembershipError(MangosaddleError):
    """Base class of the exceptions of this package."""


class UnknownFactKindError(MembershipError):
    """The kind of a fact is not registered in the table."""


class InvalidFactError(MembershipError):
    """The payload of a fact cannot be decoded."""
