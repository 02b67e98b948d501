"""Tests of the platform stand-ins."""

import urllib3

from mangosaddle.standins import StandInHost, StoreStandIn


def test_store_refuses_a_write_with_an_old_index(standin_host: StandInHost) -> None:
    """Of two writers that have read the same index, only the first must succeed."""
    url = standin_host.serve(StoreStandIn().application(), "127.0.0.1")
    http = urllib3.PoolManager()
    first = http.request("PUT", f"{url}/v1/kv/key?cas=0", body=b"1")
    second = http.request("PUT", f"{url}/v1/kv/key?cas=0", body=b"2")
    assert (first.json(), second.json()) == (True, False)
