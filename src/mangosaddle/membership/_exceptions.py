"""Errors of the membership package."""

from .._exceptions import MangosaddleError


class MembershipError(MangosaddleError):
    """Base class of the errors of this package."""


class UnknownFactKindError(MembershipError):
    """A fact has a kind that this table does not know."""


class InvalidFactError(MembershipError):
    """The payload of a fact cannot be read."""
