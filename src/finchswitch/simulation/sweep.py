"""The sweep: scenes over many seeds, each judged by the checkers; a failing seed is named and can be replayed."""

from finchswitch.simulation import (  # noqa: F401  they fill SCENES
    scenes_core,
    scenes_liars,
    scenes_load,
    scenes_losses,
    scenes_mixed,
    scenes_nodes,
    scenes_orders,
    scenes_plans,
    scenes_runners,
    scenes_versions,
)
from finchswitch.simulation.checkers import judge
from finchswitch.simulation.deployments import CORE, VILLAGE, Deployment
from finchswitch.simulation.history import History
from finchswitch.simulation.operator_storms import OPERATOR_STORMS
from finchswitch.simulation.play import play
from finchswitch.simulation.scenes import SCENES
from finchswitch.simulation.storms import STORMS

__all__ = ["ALL", "faults_of", "perform"]

ON_THE_CORE = {**STORMS, **OPERATOR_STORMS}  # scenes of the control nodes alone
ALL = [*SCENES, *ON_THE_CORE]


def faults_of(history: History) -> list[str]:
    """Breaches and unmet expectations, a line each."""
    lines = [f"{name}: {len(found)}, first {found[0]}" for name, found in judge(history).items()]
    unmet = [what for what, holds in history.notes.get("expected", []) if not holds]
    return lines + [f"not as expected: {what}" for what in unmet]


def perform(name: str, seed: int, deployment: Deployment = VILLAGE) -> tuple[History, list[str]]:
    """One scene under one seed; storms on the core have no deployment."""
    if name in ON_THE_CORE:
        history = play(ON_THE_CORE[name], CORE, seed)
    else:
        history = play(SCENES[name], deployment, seed)
    return history, faults_of(history)
