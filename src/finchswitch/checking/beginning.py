"""The state that a search begins with: a founded fleet, with or without an owner."""

from finchswitch.checking.claim import Claim
from finchswitch.checking.history import History
from finchswitch.checking.model import Model
from finchswitch.checking.replica import found_replicas
from finchswitch.checking.state import Operator, State

__all__ = ["initial_state"]


def initial_state(model: Model) -> State:
    scenario, parts = model.scenario, model.parts
    founded = found_replicas(list(scenario.members), list(scenario.spares))
    history, founding = History(), founded[0].document
    assert founding is not None
    history.chosen[0] = founding
    state = State(
        tuple(parts.replicas.number(each) for each in founded),
        tuple(parts.claims.number(Claim(each.store, each.promised[0])) for each in founded),
        (),
        tuple(Operator(scenario.sendings) for _ in scenario.orders),
        parts.histories.number(history),
        scenario.troubles,
    )
    return _first_owner(model, state) if scenario.owner_first else state


def _first_owner(model: Model, state: State) -> State:
    """The first member stands and is answered until it owns; what it asked of others may still come late."""
    state = model.apply(state._replace(troubles=state.troubles._replace(stands=1)), ("stand", 0, 0))
    while not model.claim(state, 0).ownership.owns():
        state = model.apply(state, ("deliver", state.messages[0]))
    return state._replace(troubles=model.scenario.troubles)
