"""API keys of callers: hashing, verification and withdrawal."""

from ._key_ring import Caller, KeyRefusal, KeyRing, parse_authorization
from ._key_text import KeyText, redact, secret_sha256

__all__ = [
    "Caller",
    "KeyRefusal",
    "KeyRing",
    "KeyText",
    "parse_authorization",
    "redact",
    "secret_sha256",
]
