"""Client library for callers."""

from ._client import Client, Response
from ._exceptions import (
    ClientError,
    Execution,
    IncompleteAnswer,
    OverloadedError,
    RefusedError,
    UnreachableError,
)
from ._problem import Problem

__all__ = [
    "Client",
    "ClientError",
    "Execution",
    "IncompleteAnswer",
    "OverloadedError",
    "Problem",
    "RefusedError",
    "Response",
    "UnreachableError",
]
