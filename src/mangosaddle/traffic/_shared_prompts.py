"""Which engine is expected to keep the shared parts of a prompt: all VMs of a region agree on it.

The load it answers: many VMs send prompts with the same long parts, at a peak at which a region can
read its own prompts only if these parts are kept. A VM sees few of the requests, so its own record
of an engine's cache says little; VMs that guess apart have each part read at several engines.
"""

from collections.abc import Sequence

from .._affinity import combine_hashes, hash64
from ._endpoints import EndpointView
from ._requests import RoutedRequest

MIN_REGION_VMS = 8
"""VMs of a region from which the common expectation counts beside a VM's own record. A VM that
sends an eighth of the prompts or more meets most parts that are in use itself."""


class SharedPromptHome:
    """The engine at which the shared parts of a prompt are expected."""

    def __init__(
        self, request: RoutedRequest, views: Sequence[EndpointView], region_vms: int
    ) -> None:
        """Rank the engines by a rendezvous hash, so that few parts move when one comes or goes."""
        prompt = request.prompt
        self.view: EndpointView | None = None
        self._expected_tokens = 0
        if prompt is None or len(prompt.parts) < 2 or not views:
            return
        key = hash64("/".join(part.id for part in prompt.parts[:-1]).encode())
        self.view = max(views, key=lambda view: combine_hashes(view.id_hash, key))
        if region_vms >= MIN_REGION_VMS:
            shared_tokens = sum(part.tokens for part in prompt.parts[:-1])
            # One of so many requests for the parts is the first, and one was sent by this VM.
            self._expected_tokens = int(shared_tokens * (1.0 - 1.0 / region_vms))

    def cached_tokens(self, view: EndpointView, recorded_tokens: int) -> int:
        """Return how many leading tokens of the prompt an engine is expected to keep.

        ``recorded_tokens`` are those that this VM has sent there lately.
        """
        if view is not self.view:
            return recorded_tokens
        return max(recorded_tokens, self._expected_tokens)
