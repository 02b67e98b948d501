"""When a VM may claim a duty, and until when its claim is valid."""

import pytest

from mangosaddle._identifiers import VmId
from mangosaddle.duties import Candidacy, LossCause, Tenure
from mangosaddle.membership import rendezvous_ranking

LEASE_S = 3.0
NOW_S = 100.0
TOKEN = 7


def _held() -> Tenure:
    tenure = Tenure(LEASE_S)
    tenure.record_claim(TOKEN, NOW_S)
    return tenure


def test_a_claim_ends_before_its_lease_can_have_lapsed() -> None:
    """Guards against a holder that still acts when its successor may have claimed."""
    tenure = _held()
    assert tenure.token(NOW_S + 0.8 * LEASE_S) == TOKEN
    assert tenure.token(NOW_S + 0.95 * LEASE_S) is None
    assert tenure.take_loss() is LossCause.EXPIRED


def test_a_renewal_counts_from_the_time_at_which_it_was_sent() -> None:
    """Guards against a slow answer that prolongs the claim beyond the lease."""
    tenure = _held()
    tenure.record_renewal(NOW_S + 1.0)
    assert tenure.token(NOW_S + 1.0 + 0.95 * LEASE_S) is None


@pytest.mark.parametrize("cause", [row for row in LossCause if row is not LossCause.STORE_RESTORED])
def test_a_vm_that_lost_a_duty_leaves_it_to_others(cause: LossCause) -> None:
    """Guards against holders that alternate within a lease."""
    tenure = _held()
    tenure.lose(cause, NOW_S + 1.0)
    assert tenure.token(NOW_S + 1.0) is None
    assert not tenure.may_claim(NOW_S + 1.0 + LEASE_S)
    assert tenure.may_claim(NOW_S + 1.0 + 20.0)


def test_after_a_restore_a_holder_may_claim_at_once_unless_another_vm_has() -> None:
    """Guards against a duty left alone after a restore, and against holders that alternate then."""
    tenure = _held()
    tenure.lose(LossCause.STORE_RESTORED, NOW_S + 1.0)
    assert tenure.may_claim(NOW_S + 1.0)
    tenure.record_other_holder(0.1, NOW_S + 1.0)
    assert not tenure.may_claim(NOW_S + 1.0 + LEASE_S)


def test_a_claim_without_a_sign_of_its_holder_is_abandoned() -> None:
    """Guards against a claim that lives on with a lease number that was given out again."""
    tenure = Tenure(LEASE_S)
    assert not tenure.is_abandoned(5, NOW_S)
    assert not tenure.is_abandoned(5, NOW_S + 3 * LEASE_S)
    tenure.record_sign()
    assert not tenure.is_abandoned(5, NOW_S + 4 * LEASE_S)
    assert not tenure.is_abandoned(6, NOW_S + 7 * LEASE_S)
    assert tenure.is_abandoned(6, NOW_S + 11 * LEASE_S)


def test_candidates_try_one_after_the_other() -> None:
    """Guards against a fleet in which all VMs ask the store at the same time."""
    candidacy = Candidacy(NOW_S, 2.0, 0.5)
    candidacy.record_news(NOW_S)
    due = [[rank for rank in range(3) if candidacy.is_due(rank, NOW_S + s)] for s in (1.9, 2, 2.5)]
    assert due == [[], [0], [0, 1]]


def test_ranks_do_not_depend_on_the_duty_alone() -> None:
    """Guards against one VM that is the first candidate for all duties."""
    vms = [VmId(f"vm-{number}") for number in range(20)]
    assert rendezvous_ranking("duty usage", vms) != rendezvous_ranking("duty scaling", vms)
