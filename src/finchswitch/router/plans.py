"""Move plans: how a plan's phase and share follow from what its duty holder sees.

A plan waits until an arriving runner is listed, shifts homes in steps so that arriving runners warm up a share
at a time, drains the leaving ones, and is done when nothing of the fleet's is left on them. Abandoned, it goes
back the same way. Paused, it stays where it is.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Any

from finchswitch.configuration import Plan
from finchswitch.configuration.model import PlanStep
from finchswitch.constants import PLAN_STEP_SHARE
from finchswitch.state_machines import StateMachine, load_transitions

__all__ = ["PlanPhase", "PlanSight", "advance", "runners_under"]


class PlanPhase(Enum):
    WAITING = "waiting"
    SHIFTING = "shifting"
    DRAINING = "draining"
    DONE = "done"
    RETURNING = "returning"
    RETURNED = "returned"


class PlanEvent(Enum):
    ARRIVED = "arrived"
    SHIFTED = "shifted"
    DRAINED = "drained"
    ABANDON = "abandon"
    WENT_BACK = "went-back"
    RESUME = "resume"


_TRANSITIONS = load_transitions("plan", PlanPhase, PlanEvent)


@dataclass(frozen=True)
class PlanSight:
    """What the duty holder sees of a plan's runners."""

    arrived: bool
    leaving_seats: float


def advance(plan: Plan, held: dict[str, Any] | None, sight: PlanSight) -> dict[str, Any]:
    """The plan's next standing.

    >>> plan = Plan(leaving=["a"], arriving=["b"], bindings=["m"])
    >>> one = advance(plan, None, PlanSight(arrived=True, leaving_seats=3))
    >>> one
    {'phase': 'shifting', 'share': 0.0}
    >>> advance(plan, one, PlanSight(True, 3))
    {'phase': 'shifting', 'share': 0.125}
    >>> advance(plan, {"phase": "draining", "share": 1.0}, PlanSight(True, 0))
    {'phase': 'done', 'share': 1.0}
    """
    state_machine, share = StateMachine(_TRANSITIONS), float(held["share"]) if held else 0.0
    state_machine.state = PlanPhase(held["phase"]) if held else PlanPhase.WAITING
    if plan.step is PlanStep.PAUSED:
        return {"phase": state_machine.state.value, "share": share}
    if plan.step is PlanStep.ABANDONED:
        if state_machine.can(PlanEvent.ABANDON):
            state_machine.take(PlanEvent.ABANDON)
        elif state_machine.state is PlanPhase.RETURNING:
            share = max(0.0, share - PLAN_STEP_SHARE)
        if state_machine.state is PlanPhase.RETURNING and share == 0.0:
            state_machine.take(PlanEvent.WENT_BACK)
        return {"phase": state_machine.state.value, "share": share}
    if state_machine.can(PlanEvent.RESUME):
        state_machine.take(PlanEvent.RESUME)
    elif state_machine.state is PlanPhase.WAITING and sight.arrived:
        state_machine.take(PlanEvent.ARRIVED)
    elif state_machine.state is PlanPhase.SHIFTING and sight.arrived:
        share = min(1.0, share + PLAN_STEP_SHARE)
        if share == 1.0:
            state_machine.take(PlanEvent.SHIFTED)
    elif state_machine.state is PlanPhase.DRAINING and sight.leaving_seats == 0:
        state_machine.take(PlanEvent.DRAINED)
    return {"phase": state_machine.state.value, "share": share}


def runners_under(plan: Plan, bound: list[str], held: dict[str, Any] | None) -> tuple[list[str], list[str], float]:
    """A binding's runners before and after a plan, and the share of homes that the plan has moved."""
    after = [each for each in bound if each not in plan.leaving]
    after += [each for each in plan.arriving if each not in after]
    share = float(held["share"]) if held else 0.0
    return bound, after, share
