"""Text form of a caller's key: ``msk_<key id>_<secret>``."""

import hashlib
import re
import secrets
from dataclasses import dataclass, field

from .._identifiers import KeyId, OrganisationId
from ..configuration import Key

KEY_PREFIX = "msk"
KEY_ID_BYTES = 8
SECRET_BYTES = 32
KEY_TEXT_LIMIT_CHARACTERS = 256
REDACTED = "[redacted]"
_KEY_TEXT = re.compile(r"msk_([A-Za-z0-9-]{1,64})_([A-Za-z0-9_-]{16,180})")
_KEY_IN_TEXT = re.compile(r"(msk_[A-Za-z0-9-]{1,64}_)[A-Za-z0-9_%+=./~-]+", re.IGNORECASE)
_CREDENTIALS_IN_TEXT = re.compile(r"\b(Bearer\s+)[^\s'\",;]+", re.IGNORECASE)


@dataclass(frozen=True, slots=True)
class KeyText:
    """A key as its caller presents it; its ``repr`` does not show the secret."""

    id: KeyId
    secret: str = field(repr=False)

    @classmethod
    def generate(cls) -> "KeyText":
        """Create a key with a random id and a secret of 256 random bits."""
        return cls(KeyId(secrets.token_hex(KEY_ID_BYTES)), secrets.token_hex(SECRET_BYTES))

    @classmethod
    def parse(cls, text: str) -> "KeyText | None":
        """Take a key apart; ``None`` for any other text."""
        if len(text) > KEY_TEXT_LIMIT_CHARACTERS:
            return None
        match = _KEY_TEXT.fullmatch(text)
        return cls(KeyId(match[1]), match[2]) if match else None

    def reveal(self) -> str:
        """Return the whole text, which is shown once, to the operator who created the key."""
        return f"{KEY_PREFIX}_{self.id}_{self.secret}"

    def to_key(self, organisation: OrganisationId) -> Key:
        """Return what the configuration keeps of this key."""
        return Key(self.id, organisation, secret_sha256(self.secret))


def secret_sha256(secret: str) -> str:
    """Return the hexadecimal digest under which a secret is kept."""
    return hashlib.sha256(secret.encode()).hexdigest()


def redact(text: str) -> str:
    """Remove the secrets of keys and bearer credentials from a text meant for a log."""
    without_keys = _KEY_IN_TEXT.sub(rf"\g<1>{REDACTED}", text)
    return _CREDENTIALS_IN_TEXT.sub(rf"\g<1>{REDACTED}", without_keys)
