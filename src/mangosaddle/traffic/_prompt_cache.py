"""Estimate of the prompt parts in an engine's prefix cache."""

from collections import OrderedDict
from collections.abc import Sequence

from ._requests import PromptPart

CACHE_MEMORY_SHARE = 0.8
"""Assumed fraction of an engine's memory that holds cached parts; running requests use the rest."""


class PromptCacheEstimate:
    """LRU model of an engine's prefix cache, fed with the prompts that were sent to it."""

    def __init__(self, memory_tokens: int) -> None:
        """Create the empty cache of an engine with a memory of ``memory_tokens``."""
        self._capacity_tokens = memory_tokens * CACHE_MEMORY_SHARE
        self._tokens_by_part: OrderedDict[tuple[str, str], int] = OrderedDict()
        self._cached_tokens = 0

    def cached_tokens(self, model: str, parts: Sequence[PromptPart]) -> int:
        """Return the number of tokens in the leading parts that are cached."""
        cached = 0
        for part in parts:
            if (model, part.id) not in self._tokens_by_part:
                break
            cached += part.tokens
        return cached

    def record(self, model: str, parts: Sequence[PromptPart]) -> None:
        """Add the parts of a prompt that was sent to the engine, and evict the oldest ones."""
        for part in reversed(parts):
            key = (model, part.id)
            self._cached_tokens += part.tokens - self._tokens_by_part.pop(key, 0)
            self._tokens_by_part[key] = part.tokens
        while self._cached_tokens > self._capacity_tokens and self._tokens_by_part:
            _, tokens = self._tokens_by_part.popitem(last=False)
            self._cached_tokens -= tokens

    def clear(self) -> None:
        """Clear the cache after a restart of the engine."""
        self._tokens_by_part.clear()
        self._cached_tokens = 0
