"""Times and sizes that all parts of the mechanism agree on."""

LOAN_VALIDITY_S = 10.0
"""Longest time from the borrower's request to the end of a loan's use."""
LOAN_MARGIN_S = 1.0
"""The borrower stops using a loan this long before its end, by its own clock."""
LARGEST_UNNOTICED_GAP_S = 2.0
"""A process that pauses for longer notices; a shorter pause must do no harm."""
LENDER_HOLD_S = LOAN_VALIDITY_S + LARGEST_UNNOTICED_GAP_S
"""The holder keeps an unsettled loan's capacity occupied for this long.

A borrower that pauses without noticing may use the loan up to
``LOAN_VALIDITY_S - LOAN_MARGIN_S + LARGEST_UNNOTICED_GAP_S`` after its request.
"""
TAKEOVER_WAIT_S = 15.0
"""Longest loan 10 s + largest unnoticed gap 2 s + margin 3 s, from the list without the VM on."""
LATE_REFUND_S = 300.0
"""The holder accepts the final cost of a loan for this long after granting it."""
ROUNDING_TOKENS = 1e-6
"""Differences below this come from floating-point addition."""
