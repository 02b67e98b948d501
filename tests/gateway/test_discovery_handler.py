"""Limits on what a caller may ask of the discovery of entry VMs."""

import pytest

from mangosaddle.gateway._discovery_handler import MAX_ORDER_IDS, _order_id_count


@pytest.mark.parametrize(
    ("query", "count"),
    [
        ("", 0),
        ("order_ids=7", 7),
        (f"order_ids={MAX_ORDER_IDS}", MAX_ORDER_IDS),
        ("order_ids=0000007", 7),
        (f"order_ids={MAX_ORDER_IDS + 1}", None),
        ("order_ids=0000009999", None),
        ("order_ids=" + "0" * 5000 + "1", 1),
        ("order_ids=" + "9" * 5000, None),
        ("order_ids=-1", None),
        ("order_ids=\u0663", None),
        ("order_ids=1&order_ids=2", None),
    ],
)
def test_number_of_order_ids_is_limited_however_it_is_written(
    query: str, count: int | None
) -> None:
    """Guards against a number whose leading zeros pass the limit and fill the table of ids."""
    assert _order_id_count(query) == count
