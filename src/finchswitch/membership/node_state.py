"""The states of a routing node as a member, and what moves it from one to another."""

from enum import Enum

from finchswitch.state_machines import load_transitions

__all__ = ["NODE_TRANSITIONS", "NodeEvent", "NodeState"]


class NodeState(Enum):
    JOINING = "joining"
    SERVING = "serving"
    CUT_OFF = "cut-off"
    STOPPING = "stopping"


class NodeEvent(Enum):
    CONFIRMED = "confirmed"
    CUT = "cut"
    STOP = "stop"


NODE_TRANSITIONS = load_transitions("node", NodeState, NodeEvent)
