"""Server-sent events of chat answers: cutting at event borders and counting tokens."""

import json
from dataclasses import dataclass
from typing import Any

EVENT_END = b"\n\n"
END_MARKER = b"data: [DONE]"
TOKEN_FIELD = b'"content":'
USAGE_FIELD = b'"usage":{'
DATA_PREFIX = b"data: "


@dataclass(frozen=True, slots=True)
class Usage:
    """Tokens that one request cost."""

    prompt_tokens: int
    completion_tokens: int


class EventBuffer:
    """Splits a byte stream at event borders, so that a caller never gets a part of an event."""

    __slots__ = ("_tail", "is_complete", "tokens", "usage")

    def __init__(self, tokens: int = 0) -> None:
        """Create a buffer; ``tokens`` have been delivered before."""
        self._tail = b""
        self.tokens = tokens
        """Token events delivered so far: the offset for resuming."""
        self.is_complete = False
        """Whether the end marker has been seen."""
        self.usage: Usage | None = None

    def feed(self, data: bytes) -> bytes:
        """Take bytes from the endpoint and return the whole events among them."""
        if self._tail:
            data = self._tail + data
        border = data.rfind(EVENT_END)
        if border < 0:
            self._tail = data
            return b""
        whole, self._tail = data[: border + 2], data[border + 2 :]
        self.tokens += whole.count(TOKEN_FIELD)
        if USAGE_FIELD in whole:
            self.usage = _parse_usage(whole) or self.usage
        if END_MARKER in whole:
            self.is_complete = True
        return whole

    def drop_tail(self) -> None:
        """Forget the part of an event that a cut connection left behind."""
        self._tail = b""


def parse_events(whole: bytes) -> list[dict[str, Any]]:
    """Return the JSON payloads of whole events; anything else is passed over."""
    payloads: list[dict[str, Any]] = []
    for block in whole.split(EVENT_END):
        if not block.startswith(DATA_PREFIX) or block == END_MARKER:
            continue
        try:
            payload = json.loads(block[len(DATA_PREFIX) :])
        except ValueError:
            continue
        if isinstance(payload, dict):
            payloads.append(payload)
    return payloads


def _parse_usage(whole: bytes) -> Usage | None:
    for payload in parse_events(whole):
        usage = payload.get("usage")
        if isinstance(usage, dict):
            return Usage(int(usage.get("prompt_tokens", 0)), int(usage.get("completion_tokens", 0)))
    return None
