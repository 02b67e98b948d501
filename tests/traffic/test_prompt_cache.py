"""The estimate of an engine's prefix cache for prompts of unusual parts."""

import pytest

from mangosaddle.traffic import PromptPart
from mangosaddle.traffic._prompt_cache import MAX_PART_ID_CHARS, PromptCacheEstimate

MEMORY_TOKENS = 1_000_000
MAX_PARTS = 500


def _parts(count: int, tokens: int, prompt: int, id_chars: int = 8) -> list[PromptPart]:
    return [PromptPart(f"{prompt:x}-{n:x}".rjust(id_chars, "0"), tokens) for n in range(count)]


@pytest.mark.parametrize(
    ("tokens", "id_chars"), [(0, 8), (1, 8), (40, 8), (40, MAX_PART_ID_CHARS + 1)]
)
def test_the_number_of_tracked_parts_is_bounded(tokens: int, id_chars: int) -> None:
    """Guards against prompts of many small parts, or of long ids, that fill the memory of a VM."""
    cache = PromptCacheEstimate(MEMORY_TOKENS, lambda: MAX_PARTS)
    for prompt in range(20):
        cache.record("m", _parts(200, tokens, prompt, id_chars))
        assert cache.tracked_parts <= (0 if tokens == 0 or id_chars > MAX_PART_ID_CHARS else 500)


def test_the_latest_parts_stay_when_fewer_may_be_tracked() -> None:
    """Guards against an estimate that keeps the parts of a time with fewer endpoints."""
    allowed = [400]
    cache = PromptCacheEstimate(MEMORY_TOKENS, lambda: allowed[0])
    for prompt in range(4):
        cache.record("m", _parts(100, 10, prompt))
    assert cache.tracked_parts == 400
    allowed[0] = 150
    latest = _parts(100, 10, 5)
    cache.record("m", latest)
    assert cache.tracked_parts == 150
    assert cache.cached_tokens("m", latest) == 1000


def test_parts_without_tokens_do_not_hide_the_cached_parts_behind_them() -> None:
    """Guards against a prompt that is taken for one that has to be read from the beginning."""
    cache = PromptCacheEstimate(MEMORY_TOKENS)
    parts = [PromptPart("a", 100), PromptPart("empty", 0), PromptPart("b", 50)]
    assert cache.cached_tokens("m", parts) == 0
    cache.record("m", parts)
    assert cache.cached_tokens("m", parts) == 150
