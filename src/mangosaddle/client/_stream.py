"""Parser for the server-sent events of a chat stream."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

MAX_EVENT_BYTES = 1024 * 1024
"""Maximum size of an event; bounds the memory used by a stream without ends of lines or events."""

END_MARKER = "[DONE]"


class MalformedStream(Exception):  # noqa: N818 - internal signal, never seen by callers
    """The bytes are not a valid chat event stream."""


@dataclass(frozen=True, slots=True)
class Event:
    """A server-sent event."""

    name: str
    """Event type; empty for a default event."""
    data: str


def parse_events(chunks: Iterable[bytes]) -> Iterator[Event]:
    """Yield the complete events of a byte stream; an incomplete last event is dropped.

    Raises `MalformedStream` if an event is larger than `MAX_EVENT_BYTES`.
    """
    buffer = b""
    name, data, data_bytes = "", list[str](), 0
    for chunk in chunks:
        buffer += chunk
        *lines, buffer = buffer.split(b"\n")
        for line in lines:
            _check_event_size(data_bytes + len(line))
            field, _, value = line.rstrip(b"\r").decode("utf-8", "replace").partition(":")
            if field == "event":
                name = value.strip()
            elif field == "data":
                data.append(value.removeprefix(" "))
                data_bytes += len(line)
            elif not field and data:
                yield Event(name, "\n".join(data))
                name, data, data_bytes = "", [], 0
        _check_event_size(data_bytes + len(buffer))


def _check_event_size(size_bytes: int) -> None:
    if size_bytes > MAX_EVENT_BYTES:
        raise MalformedStream(f"an event exceeds {MAX_EVENT_BYTES} bytes")


def event_version(event: Event) -> str | None:
    """Return the ``model@version`` that produced an event, or ``None`` if it is not stated."""
    try:
        model = json.loads(event.data).get("model")
    except (ValueError, AttributeError):
        return None
    return model if isinstance(model, str) and "@" in model else None


def event_text(event: Event) -> str | None:
    """Return the text of a token event, or ``None`` for an event without text.

    Raises `MalformedStream` if the data is not a chat event.
    """
    try:
        choices = json.loads(event.data)["choices"]
        content = choices[0]["delta"].get("content") if choices else None
    except (ValueError, LookupError, TypeError, AttributeError) as error:
        raise MalformedStream("the data of an event is not a chat event") from error
    return content if isinstance(content, str) else None
