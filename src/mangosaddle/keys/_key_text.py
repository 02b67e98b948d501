"""Text form of API keys: ``msk_<key id>_<secret>``."""

import hashlib
import re
import secrets
from dataclasses import dataclass, field

from .._identifiers import KeyId, OrganisationId
from ..configuration import Key

KEY_PREFIX = "msk"
KEY_ID_BYTES = 8
SECRET_BYTES = 32
MAX_KEY_TEXT_CHARACTERS = 256
REDACTED = "[redacted]"
_KEY_PATTERN = re.compile(r"msk_([A-Za-z0-9-]{1,64})_([A-Za-z0-9_-]{16,180})")
_EMBEDDED_KEY_PATTERN = re.compile(r"(msk_[A-Za-z0-9-]{1,64}_)[A-Za-z0-9_%+=./~-]+", re.IGNORECASE)
_EMBEDDED_CREDENTIALS_PATTERN = re.compile(r"\b(Bearer\s+)[^\s'\",;]+", re.IGNORECASE)


@dataclass(frozen=True, slots=True)
class KeyText:
    """A key as presented by its caller; the secret is excluded from ``repr``."""

    id: KeyId
    secret: str = field(repr=False)

    @classmethod
    def generate(cls) -> "KeyText":
        """Create a key with a random id and a secret of 256 random bits."""
        return cls(KeyId(secrets.token_hex(KEY_ID_BYTES)), secrets.token_hex(SECRET_BYTES))

    @classmethod
    def parse(cls, text: str) -> "KeyText | None":
        """Parse a key; return ``None`` if the text is not a key."""
        if len(text) > MAX_KEY_TEXT_CHARACTERS:
            return None
        match = _KEY_PATTERN.fullmatch(text)
        return cls(KeyId(match[1]), match[2]) if match else None

    def reveal(self) -> str:
        """Return the full text with the secret; shown once, to the operator who created the key."""
        return f"{KEY_PREFIX}_{self.id}_{self.secret}"

    def to_key(self, organisation: OrganisationId) -> Key:
        """Return the configuration entry of this key, which holds only a digest of the secret."""
        return Key(self.id, organisation, secret_sha256(self.secret))


def secret_sha256(secret: str) -> str:
    """Return the hexadecimal SHA-256 digest of a secret, which is stored in its place."""
    return hashlib.sha256(secret.encode()).hexdigest()


def redact(text: str) -> str:
    """Replace secrets of keys and bearer credentials in a text that is written to a log."""
    without_keys = _EMBEDDED_KEY_PATTERN.sub(rf"\g<1>{REDACTED}", text)
    return _EMBEDDED_CREDENTIALS_PATTERN.sub(rf"\g<1>{REDACTED}", without_keys)
