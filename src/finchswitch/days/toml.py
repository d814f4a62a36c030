"""Writes a day as TOML, in the form in which site files hold their days."""

import json

from finchswitch.days.day import Closing, Day, Trouble, Value
from finchswitch.days.fields import PLANNED_KINDS

__all__ = ["write_day"]


def write_day(day: Day) -> str:
    lines = [
        f"name = {json.dumps(day.name)}",
        'slot = "trouble"',
        f"seed = {day.seed}",
        f"length_s = {day.length_s:.1f}",
    ]
    if day.closing is not None:
        lines.append(f"closing = {_table(_closing_fields(day.closing))}")
    planned = [each for each in day.troubles if each.kind in PLANNED_KINDS]
    faults = [each for each in day.troubles if each.kind not in PLANNED_KINDS]
    return "\n".join([*lines, *_entries("plan", planned), *_entries("faults", faults), ""])


def _closing_fields(closing: Closing) -> dict[str, Value]:
    fields: dict[str, Value] = {"kind": closing.kind, "down_s": closing.down_s}
    if closing.variant:
        fields["how"] = closing.variant
    return fields


def _entries(name: str, troubles: list[Trouble]) -> list[str]:
    in_order = sorted(troubles, key=lambda trouble: trouble.at_s)
    rows = [f"  {_table({'at': round(each.at_s, 2), 'kind': each.kind, **each.fields})}," for each in in_order]
    return [f"{name} = [", *rows, "]"]


def _table(fields: dict[str, Value]) -> str:
    return "{ " + ", ".join(f"{name} = {json.dumps(value)}" for name, value in fields.items()) + " }"
