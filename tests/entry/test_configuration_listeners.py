"""Parts of a VM that follow the configuration."""

import pytest

from mangosaddle.entry._catalogue_holder import CatalogueHolder
from mangosaddle.traffic import CallerLimits, Catalogue


def test_a_failing_listener_does_not_keep_a_version_from_the_others(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against requests that run by two configurations at once after an unexpected error."""
    versions: list[int] = []

    def _fail(_catalogue: Catalogue) -> None:
        raise RuntimeError("unexpected")

    holder = CatalogueHolder(lambda: 0.0)
    holder.on_change(_fail)
    holder.on_change(lambda catalogue: versions.append(catalogue.version))
    limits = CallerLimits(1024, 1024, 1.0, 1.0)
    assert holder.apply(Catalogue.from_parts(7, (), (), (), limits), revision=1)
    assert versions == [7]
    assert "configuration applied in part" in caplog.messages
