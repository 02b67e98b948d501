"""Belief about the prompt parts that an engine keeps in its cache."""

from collections import OrderedDict
from collections.abc import Sequence

from ._requests import PromptPart

CACHE_SHARE = 0.8
"""Part of an engine's memory taken to hold cached parts; running requests have the rest."""


class PrefixBelief:
    """Least recently used list of the parts that were sent to one engine."""

    def __init__(self, memory_tokens: int) -> None:
        """Create an empty cache of an engine with ``memory_tokens`` tokens of memory."""
        self._capacity_tokens = memory_tokens * CACHE_SHARE
        self._tokens_by_part: OrderedDict[tuple[str, str], int] = OrderedDict()
        self._held_tokens = 0

    def cached_tokens(self, model: str, parts: Sequence[PromptPart]) -> int:
        """Return the tokens of the leading parts that are held."""
        cached = 0
        for part in parts:
            if (model, part.id) not in self._tokens_by_part:
                break
            cached += part.tokens
        return cached

    def record(self, model: str, parts: Sequence[PromptPart]) -> None:
        """Note that the engine has read these parts."""
        for part in reversed(parts):
            key = (model, part.id)
            self._held_tokens += part.tokens - self._tokens_by_part.pop(key, 0)
            self._tokens_by_part[key] = part.tokens
        while self._held_tokens > self._capacity_tokens and self._tokens_by_part:
            _, tokens = self._tokens_by_part.popitem(last=False)
            self._held_tokens -= tokens

    def clear(self) -> None:
        """Forget everything, because the engine has started anew."""
        self._tokens_by_part.clear()
        self._held_tokens = 0
