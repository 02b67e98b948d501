"""Discovery of entry VMs."""

import json

from ._entry_vms import EntryVms, OrderId
from ._http import AttemptFailed, HttpClient, Request, read_all

ORDER_IDS_PER_REQUEST = 8
DISCOVERY_RETRY_INTERVAL_S = 1.0
"""Interval between discovery attempts while no VM answers."""

DISCOVERY_TIMEOUT_S = 2.0


def discover(http: HttpClient, vms: EntryVms, key: str, timeout_s: float, order_ids: bool) -> None:
    """Update the list from the first VM that answers; keep the old list if none does."""
    path = f"/v1/entry-vms?order_ids={ORDER_IDS_PER_REQUEST}" if order_ids else "/v1/entry-vms"
    request = Request("GET", path, {"Authorization": f"Bearer {key}"})
    for url in vms.urls():
        try:
            response = http.open(url, request, min(timeout_s, DISCOVERY_TIMEOUT_S))
            body = read_all(response)
        except AttemptFailed:
            vms.mark_failed(url)
            continue
        if response.status == 200 and _update_from_response(vms, url, body):
            return
        vms.mark_failed(url)
    vms.postpone_discovery(DISCOVERY_RETRY_INTERVAL_S)


def _update_from_response(vms: EntryVms, url: str, body: bytes) -> bool:
    try:
        document = json.loads(body)
        urls = [str(vm["url"]) for vm in document["vms"]]
        valid_for_s = float(document["valid_for_s"])
        issued = [OrderId(str(entry), url) for entry in document.get("order_ids") or ()]
    except (ValueError, LookupError, TypeError, AttributeError):
        return False
    vms.update(urls, valid_for_s, issued)
    return True
