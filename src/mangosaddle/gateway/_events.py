"""Server-sent events of chat answers: splitting at event boundaries and counting tokens."""

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
    """Token counts of one request, as the engine reports them."""

    prompt_tokens: int
    completion_tokens: int


@dataclass(frozen=True, slots=True)
class ChoiceDelta:
    """What an event adds to one choice of an answer."""

    text: str
    finish_reason: str | None


class EventBuffer:
    """Splits a byte stream at event boundaries, so that callers never get a partial event."""

    __slots__ = ("_partial_event", "is_complete", "tokens", "usage")

    def __init__(self, tokens: int = 0) -> None:
        """Create an empty buffer; ``tokens`` is the number of token events delivered earlier."""
        self._partial_event = b""
        self.tokens = tokens
        """Number of token events delivered so far, which is the offset to resume from."""
        self.is_complete = False
        """Whether the end marker has been seen."""
        self.usage: Usage | None = None

    def feed(self, data: bytes) -> bytes:
        """Add bytes from the endpoint and return the events that are complete."""
        if self._partial_event:
            data = self._partial_event + data
        boundary = data.rfind(EVENT_END)
        if boundary < 0:
            self._partial_event = data
            return b""
        complete_events, self._partial_event = data[: boundary + 2], data[boundary + 2 :]
        self.tokens += complete_events.count(TOKEN_FIELD)
        if USAGE_FIELD in complete_events:
            self.usage = _parse_usage(complete_events) or self.usage
        if END_MARKER in complete_events:
            self.is_complete = True
        return complete_events

    def discard_partial_event(self) -> None:
        """Discard the incomplete event after a broken connection."""
        self._partial_event = b""


def parse_events(complete_events: bytes) -> list[dict[str, Any]]:
    """Return the JSON objects of complete events; other events are ignored."""
    payloads: list[dict[str, Any]] = []
    for block in complete_events.split(EVENT_END):
        if not block.startswith(DATA_PREFIX) or block == END_MARKER:
            continue
        try:
            payload = json.loads(block[len(DATA_PREFIX) :])
        except ValueError:
            continue
        if isinstance(payload, dict):
            payloads.append(payload)
    return payloads


def parse_choices(complete_events: bytes) -> list[ChoiceDelta]:
    """Return what complete events add to the choices of an answer.

    Engines send ``null`` for what an event does not have; that and other types count as absent.
    """
    deltas: list[ChoiceDelta] = []
    for payload in parse_events(complete_events):
        choices = payload.get("choices")
        for choice in choices if isinstance(choices, list) else []:
            if not isinstance(choice, dict):
                continue
            delta, reason = choice.get("delta"), choice.get("finish_reason")
            text = delta.get("content") if isinstance(delta, dict) else None
            deltas.append(
                ChoiceDelta(
                    text if isinstance(text, str) else "",
                    reason if isinstance(reason, str) else None,
                )
            )
    return deltas


def _parse_usage(complete_events: bytes) -> Usage | None:
    for payload in parse_events(complete_events):
        usage = payload.get("usage")
        if isinstance(usage, dict):
            counts = [usage.get(name, 0) for name in ("prompt_tokens", "completion_tokens")]
            if all(type(count) is int and count >= 0 for count in counts):
                return Usage(*counts)
    return None
