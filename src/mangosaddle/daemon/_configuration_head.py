"""The configuration head: a small store entry that VMs watch instead of the configuration."""

import base64
import json
import secrets
from dataclasses import dataclass

from pydantic import Base64Bytes, BaseModel, ConfigDict, Field, ValidationError
from returns.result import Success

from ..providers import Conflict, StoreClient, StoreEntry

HEAD_KEY = "configuration-head"
MAX_DELTA_BYTES = 64 * 1024
"""Larger deltas are left out of facts and of the head; readers then fetch the whole document."""
MAX_WRITE_ATTEMPTS = 4


class _HeadModel(BaseModel):
    """JSON schema of the stored head."""

    model_config = ConfigDict(extra="forbid")

    revision: int = Field(ge=1)
    nonce: str
    delta: Base64Bytes


@dataclass(frozen=True, slots=True)
class ConfigurationHead:
    """The revision of the newest configuration and the delta that leads to it."""

    revision: int
    delta: bytes
    """Encoded delta to this revision; empty if readers have to fetch the whole configuration."""

    def to_bytes(self, nonce: str) -> bytes:
        """Return the value for the store; the nonce distinguishes equal heads of two writers."""
        delta = base64.b64encode(self.delta).decode()
        document = {"revision": self.revision, "nonce": nonce, "delta": delta}
        return json.dumps(document).encode()

    @classmethod
    def from_entry(cls, entry: StoreEntry | None) -> "ConfigurationHead | None":
        """Return the stored head, ``None`` if it is missing or invalid."""
        if entry is None:
            return None
        try:
            model = _HeadModel.model_validate_json(entry.value)
        except ValidationError:
            return None
        return cls(model.revision, model.delta)


def advance_head(store: StoreClient, head: ConfigurationHead, resolve_timeout_s: float) -> bool:
    """Write the head unless the store has the same or a newer revision (blocking).

    Returns whether the stored head now has at least this revision; ``False`` if the store did not
    confirm that within ``resolve_timeout_s`` seconds per attempt.
    """
    value = head.to_bytes(secrets.token_hex(16))
    found = store.read(HEAD_KEY)
    if not isinstance(found, Success):
        return False
    entry = found.unwrap()
    for _ in range(MAX_WRITE_ATTEMPTS):
        stored = ConfigurationHead.from_entry(entry)
        if stored is not None and stored.revision >= head.revision:
            return True
        index = entry.modify_index if entry is not None else 0
        written = store.compare_and_swap_resolved(HEAD_KEY, value, index, resolve_timeout_s)
        if isinstance(written, Success):
            return True
        failure = written.failure()
        if not isinstance(failure, Conflict) or failure.current_index is None:
            return False
        entry = failure.entry
    return False
