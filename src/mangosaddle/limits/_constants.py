"""Times and sizes that all parts of the mechanism agree on."""

SHARE_VALIDITY_S = 10.0
"""Longest time from the borrower's request or renewal to the end of a share's use."""
SHARE_MARGIN_S = 1.0
"""The borrower stops using a share this long before its end, by its own clock."""
LARGEST_UNNOTICED_GAP_S = 2.0
"""A process that pauses for longer notices; a shorter pause must do no harm."""
LENDER_HOLD_S = SHARE_VALIDITY_S + LARGEST_UNNOTICED_GAP_S
"""The lender regains a share that was neither renewed nor returned after this time.

A borrower that pauses without noticing may use the share up to
``SHARE_VALIDITY_S - SHARE_MARGIN_S + LARGEST_UNNOTICED_GAP_S`` after its request.
"""
TRANSFER_VALIDITY_S = 1.0
"""A borrower takes the tokens of a transfer only in this time after its request."""
TRANSFER_HOLD_S = 4.0
"""The sender of a transfer keeps its capacity occupied for this long, unless it is confirmed.

A borrower that pauses without noticing may take it up to ``TRANSFER_VALIDITY_S +
LARGEST_UNNOTICED_GAP_S`` after its request.
"""
TAKEOVER_WAIT_S = 15.0
"""Longest share 10 s + largest unnoticed gap 2 s + margin 3 s, from the list without the VM on."""
ROUNDING_TOKENS = 1e-6
"""Differences below this come from floating-point addition."""
