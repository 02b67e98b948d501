"""Times and tolerances shared by borrowers, lenders and the takeover of slots."""

SHARE_VALIDITY_S = 10.0
"""Maximum time that a share is used after the borrower sent its request or renewal."""
SHARE_SAFETY_MARGIN_S = 1.0
"""The borrower stops using a share this long before it expires, by its own clock."""
MAX_UNDETECTED_PAUSE_S = 2.0
"""Longest process pause that may go undetected.

Longer pauses are detected as a clock gap; shorter ones must not violate any limit.
"""
LENDER_HOLD_S = SHARE_VALIDITY_S + MAX_UNDETECTED_PAUSE_S
"""The lender reclaims a share after this time unless it was renewed or returned earlier.

A borrower with an undetected pause may use the share up to
``SHARE_VALIDITY_S - SHARE_SAFETY_MARGIN_S + MAX_UNDETECTED_PAUSE_S`` after its request.
"""
TRANSFER_VALIDITY_S = 1.0
"""A borrower accepts the tokens of a transfer only within this time after its request."""
TRANSFER_HOLD_S = 4.0
"""The sender of an unconfirmed transfer reserves its capacity for this long.

A borrower with an undetected pause may accept the transfer up to
``TRANSFER_VALIDITY_S + MAX_UNDETECTED_PAUSE_S`` after its request.
"""
TAKEOVER_WAIT_S = 15.0
"""Time after a VM disappeared from the platform's list until its slots may be taken over.

It is the sum of the longest share (10 s), the longest undetected pause (2 s) and a margin (3 s).
"""
ROUNDING_TOLERANCE_TOKENS = 1e-6
"""Tolerance for floating-point rounding in sums of tokens."""
