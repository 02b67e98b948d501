"""Reads the order that writers of store entries state in them."""

import json

from ..coordination import Item
from ._configuration import CONFIGURATION_KEY
from ._registrations import REGISTRATION_PREFIX


def item_order(item: Item) -> tuple[int, ...] | None:
    """Return an entry's place among those of its writer, or ``None`` if it states none.

    Configurations have increasing versions; a runner counts its entries from each start.
    """
    if item.key == CONFIGURATION_KEY:
        names = ["version"]
    elif item.key.startswith(REGISTRATION_PREFIX):
        names = ["born", "seq"]
    else:
        return None
    try:
        document = json.loads(item.value)
    except (ValueError, RecursionError):
        return None
    if not isinstance(document, dict):
        return None
    numbers = [number for name in names if type(number := document.get(name)) is int]
    if len(numbers) < len(names):
        return None
    return tuple(numbers)
