"""Checking a configuration: every bad field is named, and one bad field refuses the whole.

``read_configuration`` turns plain JSON into a ``Configuration`` or the list of what is wrong. It is used by the
command line, by the control nodes before a change is proposed, and by the routing nodes when news arrives.
"""

import dataclasses
import functools
import json
import re
from typing import Any

from returns.result import Failure, Result, Success

from finchswitch.configuration.model import (
    Binding,
    Configuration,
    Kept,
    Plan,
    PlanStep,
    Repeat,
    Route,
    Runner,
    Service,
    Settings,
)
from finchswitch.configuration.routes import check_routes
from finchswitch.constants import (
    ANSWER_LEAST_MS,
    ANSWER_LONGEST_MS,
    DUE_LEAST_MS,
    DUE_MOST_MS,
    HOT_SET_MOST,
    HOT_SHARE_LEAST,
    HOT_SHARE_MOST,
    PREFILL_MOST_TOKENS_A_S,
    SLOTS_MOST,
    SPILL_SHARE_LEAST,
    TRIES_SHARE_MOST,
)

__all__ = ["check_configuration", "read_configuration", "written"]

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._/-]{0,99}\Z")
_KINDS: dict[str, type] = {"services": Service, "runners": Runner, "bindings": Binding, "routes": Route}
_KINDS.update({"plans": Plan, "kept": Kept})

_KINDS_OF_VALUE: dict[Any, str] = {
    int: "a whole number",
    float: "a number",
    str: "a string",
    list[str]: "a list of strings",
    bool: "true or false",
    list[Any]: "a list",
    dict[str, int]: "whole numbers by name",
    Repeat: "never, resume or always",
    PlanStep: "running, paused or abandoned",
}


def read_configuration(raw: Any, before: tuple[Any, Configuration] | None = None) -> Result[Configuration, list[str]]:
    """Read and check plain JSON; entries that are the very objects of a configuration read before are not read again.

    >>> read_configuration({"services": {"m": {"dueMs": 0}}}).failure()
    ['services.m.dueMs: 0 is not within 50 and 120000']
    >>> read_configuration({"sevrices": {}}).failure()
    ['sevrices: no such kind of entry']
    >>> read_configuration({"runners": {"r": {"slots": True, "colour": 1}}, "settings": {"spillShare": 1}}).failure()
    ['runners.r.colour: no such field', 'runners.r.slots: true is not a whole number']
    """
    if not isinstance(raw, dict):
        return Failure(["configuration: not an object"])
    wrong = [f"{kind}: no such kind of entry" for kind in raw if kind not in _KINDS and kind != "settings"]
    configuration, old = Configuration(), before[0] if before else {}
    for kind, shape in _KINDS.items():
        entries = raw.get(kind, {})
        if not isinstance(entries, dict):
            wrong.append(f"{kind}: not an object")
            continue
        earlier = old.get(kind, {})
        for name, value in entries.items():
            if before and name in earlier and earlier[name] is value:
                getattr(configuration, kind)[name] = getattr(before[1], kind)[name]
                continue
            if not _NAME.match(name):
                wrong.append(f"{kind}.{name[:100]}: not a name")
            read = _read(shape, value, f"{kind}.{name}")
            if isinstance(read, list):
                wrong.extend(read)
            else:
                getattr(configuration, kind)[name] = read
    settings = _read(Settings, raw.get("settings", {}), "settings")
    if isinstance(settings, list):
        wrong.extend(settings)
    else:
        configuration.settings = settings
    wrong.extend(check_configuration(configuration, before[1] if before else None) if not wrong else [])
    return Failure(wrong) if wrong else Success(configuration)


@functools.cache
def _fields_of(shape: type) -> dict[str, "dataclasses.Field[Any]"]:
    """The fields of a kind of entry, by how they are written; there are hundreds of entries of one kind."""
    return {written(each.name): each for each in dataclasses.fields(shape)}


def _read(shape: type, value: Any, where: str) -> Any:
    """The entry, or the list of every field that is not as it should be."""
    if not isinstance(value, dict):
        return [f"{where}: not an object"]
    fields = _fields_of(shape)
    wrong = [f"{where}.{name}: no such field" for name in value if name not in fields]
    content: dict[str, Any] = {}
    for name, each in fields.items():
        if name not in value:
            needed = each.default is dataclasses.MISSING and each.default_factory is dataclasses.MISSING
            wrong += [f"{where}.{name}: missing"] if needed else []
        elif each.type is float and type(value[name]) is int:
            content[each.name] = float(value[name])
        elif _fits(value[name], each.type):
            content[each.name] = each.type(value[name]) if each.type in (PlanStep, Repeat) else value[name]
        else:
            wrong.append(f"{where}.{name}: {json.dumps(value[name])[:60]} is not {_KINDS_OF_VALUE[each.type]}")
    return wrong or shape(**content)


def written(name: str) -> str:
    """How a field is written in a configuration.

    >>> written("hot_enter_share"), written("service")
    ('hotEnterShare', 'service')
    """
    first, *rest = name.split("_")
    return first + "".join(each.capitalize() for each in rest)


def _fits(value: Any, kind: Any) -> bool:
    if kind == list[str]:
        return isinstance(value, list) and all(type(each) is str for each in value)
    if kind == list[Any]:
        return isinstance(value, list)
    if kind == dict[str, int]:
        return isinstance(value, dict) and all(type(each) is int for each in value.values())
    if kind is PlanStep or kind is Repeat:
        return value in [each.value for each in kind]
    return type(value) is kind


def check_configuration(configuration: Configuration, before: Configuration | None = None) -> list[str]:
    """What is wrong between the entries, and numbers out of range; ``before`` is a valid one that shares entries."""
    wrong: list[str] = []
    _range(wrong, "settings.triesShare", configuration.settings.tries_share, 0, TRIES_SHARE_MOST)
    _range(wrong, "settings.spillShare", configuration.settings.spill_share, SPILL_SHARE_LEAST, 1)
    _range(wrong, "settings.answerMostMs", configuration.settings.answer_most_ms, ANSWER_LEAST_MS, ANSWER_LONGEST_MS)
    for name, service in configuration.services.items():
        _range(wrong, f"services.{name}.dueMs", service.due_ms, DUE_LEAST_MS, DUE_MOST_MS)
        _range(wrong, f"services.{name}.slots", service.slots, 1, SLOTS_MOST)
        _range(wrong, f"services.{name}.hotMost", service.hot_most, 0, HOT_SET_MOST)
        _range(wrong, f"services.{name}.hotEnterShare", service.hot_enter_share, HOT_SHARE_LEAST, HOT_SHARE_MOST)
        _range(wrong, f"services.{name}.hotLeaveShare", service.hot_leave_share, 0, service.hot_enter_share)
    for name, runner in configuration.runners.items():
        _range(wrong, f"runners.{name}.slots", runner.slots, 1, SLOTS_MOST)
        _range(wrong, f"runners.{name}.prefillTokensPerS", runner.prefill_tokens_per_s, 1, PREFILL_MOST_TOKENS_A_S)
    bound: dict[str, str] = {}
    for name, binding in configuration.bindings.items():
        where = f"bindings.{name}"
        if binding.service not in configuration.services:
            wrong.append(f"{where}.service: unknown service {binding.service}")
        if binding.service in bound:
            wrong.append(f"{where}.service: {binding.service} is bound by {bound[binding.service]} already")
        bound[binding.service] = name
        _runners(wrong, f"{where}.runners", binding.runners, configuration)
        if not binding.runners:
            wrong.append(f"{where}.runners: empty")
    wrong.extend(check_routes(configuration, before))
    _check_plans(wrong, configuration)
    return wrong


def _check_plans(wrong: list[str], configuration: Configuration) -> None:
    moved: dict[str, str] = {}
    for name, plan in configuration.plans.items():
        where = f"plans.{name}"
        _runners(wrong, f"{where}.leaving", plan.leaving, configuration)
        _runners(wrong, f"{where}.arriving", plan.arriving, configuration)
        for both in sorted(set(plan.leaving) & set(plan.arriving)):
            wrong.append(f"{where}.arriving: {both} leaves by the same plan")
        for binding in plan.bindings:
            if binding not in configuration.bindings:
                wrong.append(f"{where}.bindings: unknown binding {binding}")
                continue
            stays = (set(configuration.bindings[binding].runners) - set(plan.leaving)) | set(plan.arriving)
            if not stays:
                wrong.append(f"{where}.leaving: binding {binding} would have no runner left")
        if plan.step is not PlanStep.ABANDONED:
            for thing in [*plan.leaving, *plan.arriving, *plan.bindings]:
                if moved.setdefault(thing, name) != name:
                    wrong.append(f"{where}: {thing} is in plan {moved[thing]} already")


def _range(wrong: list[str], where: str, value: float, least: float, most: float) -> None:
    if not least <= value <= most:
        wrong.append(f"{where}: {value} is not within {least} and {most}")


def _runners(wrong: list[str], where: str, names: list[str], configuration: Configuration) -> None:
    for name in names:
        if name not in configuration.runners:
            wrong.append(f"{where}: unknown runner {name}")
    for name in sorted({each for each in names if names.count(each) > 1}):
        wrong.append(f"{where}: {name} stands twice")
