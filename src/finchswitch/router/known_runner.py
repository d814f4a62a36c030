"""One incarnation of a runner as a routing node knows it: its state in the list, its connections, its failures."""

from enum import Enum

import httpx

from finchswitch.constants import PROOF_WAIT_MS, RUNNER_SILENT_MS
from finchswitch.router.platform import Listed
from finchswitch.router.proof import Permit, PermitOnly, RunnerProof
from finchswitch.state_machines import StateMachine, load_transitions
from finchswitch.transport import World

__all__ = ["Known", "RunnerEvent", "RunnerState"]


class RunnerState(Enum):
    UNLISTED = "unlisted"
    UP = "up"
    LEAVING = "leaving"


class RunnerEvent(Enum):
    LISTED = "listed"
    LEAVES = "leaves"
    VANISHED = "vanished"


_TRANSITIONS = load_transitions("runner", RunnerState, RunnerEvent)


class Known:
    """One incarnation of a runner."""

    def __init__(self, listed: Listed, world: World, permit: Permit, kept: bool) -> None:
        self.listed = listed
        self.runner, self.incarnation, self.address = listed.runner, listed.incarnation, listed.address
        self.state_machine = StateMachine(_TRANSITIONS, f"{listed.runner}/{listed.incarnation}")
        self.down_until_ms = 0.0
        self.unlisted_since_ms: float | None = None  # when a reading first lacked it; None while the list shows it
        self.heard_ms = -1e18  # when anything last came of it
        self.failures = 0  # tries in a row that ended without an answer of its own
        proof = RunnerProof(listed.runner, listed.incarnation, permit)
        gate = PermitOnly(listed.incarnation, permit) if kept else proof
        self.transport = world.http_transport(gate, fresh=not kept)
        timeout = httpx.Timeout(RUNNER_SILENT_MS / 1000, connect=PROOF_WAIT_MS / 1000)
        reader = world.http_transport(None if kept else proof)  # of vitals only
        self.reader = httpx.AsyncClient(transport=reader, timeout=timeout, trust_env=False)

    def heard(self, now_ms: float) -> None:
        self.heard_ms, self.failures = now_ms, 0
