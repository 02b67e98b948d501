"""Estimate of the prompt parts in an engine's prefix cache."""

from collections import OrderedDict
from collections.abc import Callable, Sequence

from ._requests import PromptPart

CACHE_MEMORY_SHARE = 0.8
"""Assumed fraction of an engine's memory that holds cached parts; running requests use the rest."""
MAX_TRACKED_PARTS = 100_000
"""Maximum number of parts that a VM tracks in the caches of all engines, about 35 MB. Callers may
send parts of few tokens, of which the memory of an engine holds many more."""
MAX_PART_ID_CHARS = 64
"""Length of the id of a part above which it is not tracked; an id may fill a request's head."""


class PromptCacheEstimate:
    """LRU model of an engine's prefix cache, fed with the prompts that were sent to it.

    Parts without tokens take no memory of the engine and are not tracked.
    """

    def __init__(
        self, memory_tokens: int, max_parts: Callable[[], int] = lambda: MAX_TRACKED_PARTS
    ) -> None:
        """Create the empty cache of an engine with a memory of ``memory_tokens``.

        ``max_parts`` returns the number of parts that may be tracked at the moment.
        """
        self._capacity_tokens = memory_tokens * CACHE_MEMORY_SHARE
        self._max_parts = max_parts
        self._tokens_by_part: OrderedDict[tuple[str, str], int] = OrderedDict()
        self._cached_tokens = 0

    @property
    def tracked_parts(self) -> int:
        """Return the number of parts that the cache holds according to this estimate."""
        return len(self._tokens_by_part)

    def cached_tokens(self, model: str, parts: Sequence[PromptPart]) -> int:
        """Return the number of tokens in the leading parts that are cached."""
        cached = 0
        for part in parts:
            if part.tokens and (model, part.id) not in self._tokens_by_part:
                break
            cached += part.tokens
        return cached

    def record(self, model: str, parts: Sequence[PromptPart]) -> None:
        """Add the parts of a prompt that was sent to the engine, and evict the oldest ones."""
        for part in reversed(parts):
            if not part.tokens or len(part.id) > MAX_PART_ID_CHARS:
                continue
            key = (model, part.id)
            self._cached_tokens += part.tokens - self._tokens_by_part.pop(key, 0)
            self._tokens_by_part[key] = part.tokens
        max_parts = self._max_parts()
        while self._tokens_by_part and (
            self._cached_tokens > self._capacity_tokens or len(self._tokens_by_part) > max_parts
        ):
            _, tokens = self._tokens_by_part.popitem(last=False)
            self._cached_tokens -= tokens

    def clear(self) -> None:
        """Clear the cache after a restart of the engine."""
        self._tokens_by_part.clear()
        self._cached_tokens = 0
