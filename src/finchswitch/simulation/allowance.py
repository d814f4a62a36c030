"""What the operators' changes allowed at a time, read from the changes that were sent and not surely refused.

A pair of service and runner is allowed from the first change that may have taken effect and binds them, by a binding
or by a plan that the binding follows. A binding that an acknowledged change replaced is over once that is in effect.
"""

from typing import Any

from finchswitch.simulation.history import Change, History

__all__ = ["allowed_since", "bound_spans"]

_REFUSED = (400, 409, 413, 422)


def _entries(change: Change, kind: str) -> dict[str, Any]:
    if "configuration" in change.content:
        return dict(change.content["configuration"].get(kind, {}))
    edits = change.content.get("edits", [])
    return {each["name"]: each["value"] for each in edits if each["kind"] == kind and each["value"]}


def allowed_since(history: History) -> dict[tuple[str, str], float]:
    """From when on each pair of service and runner was allowed."""
    services: dict[str, set[str]] = {}
    since: dict[tuple[str, str], float] = {}
    for change in sorted(history.changes, key=lambda each: each.sent_ms):
        if change.status in _REFUSED:
            continue
        for name, binding in _entries(change, "bindings").items():
            services.setdefault(name, set()).add(binding["service"])
            for runner in binding["runners"]:
                since.setdefault((binding["service"], runner), change.sent_ms)
        for plan in _entries(change, "plans").values():
            for runner in plan["arriving"]:
                for service in {s for name in plan["bindings"] for s in services.get(name, ())}:
                    since.setdefault((service, runner), change.sent_ms)
    return since


def bound_spans(history: History) -> list[tuple[str, list[str], float, float]]:
    """Spans in which only these runners are bound to a service: acknowledged, and no other change of it sent yet.

    Services that any plan touches are left out, since a plan's standing says more than its change.
    """
    changes = sorted((c for c in history.changes if c.status not in _REFUSED), key=lambda each: each.sent_ms)
    planned = {name for change in changes for plan in _entries(change, "plans").values() for name in plan["bindings"]}
    sent = [
        (change, binding)
        for change in changes
        for name, binding in _entries(change, "bindings").items()
        if name not in planned
    ]
    spans = []
    for at, (change, binding) in enumerate(sent):
        if change.status == 200:
            later = [each.sent_ms for each, other in sent[at + 1 :] if other["service"] == binding["service"]]
            spans.append((binding["service"], binding["runners"], change.answered_ms, min(later, default=float("inf"))))
    return spans
