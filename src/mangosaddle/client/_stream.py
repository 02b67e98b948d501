"""Server-sent events of a chat stream."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

MAX_EVENT_BYTES = 1024 * 1024
"""Longest event; a stream without line ends must not fill the memory."""

END_MARKER = "[DONE]"


class StreamBroken(Exception):  # noqa: N818 - internal signal, never seen by callers
    """The bytes are no event stream."""


@dataclass(frozen=True, slots=True)
class Event:
    """One server-sent event."""

    name: str
    """Empty for a plain event."""
    data: str


def events_of(chunks: Iterable[bytes]) -> Iterator[Event]:
    """Return the complete events of a byte stream; a cut event is dropped."""
    buffer = b""
    name, data = "", list[str]()
    for chunk in chunks:
        buffer += chunk
        *lines, buffer = buffer.split(b"\n")
        if len(buffer) > MAX_EVENT_BYTES:
            raise StreamBroken(f"a line exceeds {MAX_EVENT_BYTES} bytes")
        for line in lines:
            field, _, value = line.rstrip(b"\r").decode("utf-8", "replace").partition(":")
            if field == "event":
                name = value.strip()
            elif field == "data":
                data.append(value.removeprefix(" "))
            elif not field and data:
                yield Event(name, "\n".join(data))
                name, data = "", []


def version_of(event: Event) -> str | None:
    """Return the model and version that produced an event, as ``model@version``."""
    try:
        model = json.loads(event.data).get("model")
    except (ValueError, AttributeError):
        return None
    return model if isinstance(model, str) and "@" in model else None


def delta_of(event: Event) -> str | None:
    """Return the text of a token event, ``None`` for other events.

    Raises `StreamBroken` for data that is no chat event.
    """
    try:
        choices = json.loads(event.data)["choices"]
        content = choices[0]["delta"].get("content") if choices else None
    except (ValueError, LookupError, TypeError, AttributeError) as error:
        raise StreamBroken("an event is no chat event") from error
    return content if isinstance(content, str) else None
