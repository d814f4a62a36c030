"""Reads the printed list of the kinds of trouble that a deployment may meet.

The text has a preamble, then one line a kind, as ``name: description``, in two groups: the kinds that are usual for the
deployment, and, after a line that ends in a colon, the further ones. The description names the fields that the kind
reads, with their defaults in brackets, and after ``how:`` its variants.
"""

import re
from dataclasses import dataclass

from finchswitch.errors import ErrorKind, FleetError

__all__ = ["Kind", "read_kinds"]

_KIND_LINE = re.compile(r"(?P<name>[a-z]+(?:_[a-z]+)*): (?P<text>.+)")
_FURTHER_LINE = re.compile(r"[a-z ]+:")
_FIELD = re.compile(r"\b(?P<field>share|count|x|for_s|gap_s)\b(?: \((?P<default>\d*\.?\d+)\))?")
_VARIANT_ALONE = re.compile(r"\bhow (?P<variant>[a-z_]+):")
_BRACKETS = re.compile(r" ?\([^()]*\)")
_PROSE_WORDS = frozenset({"also", "all", "are", "for", "of", "on", "or", "say", "the", "they", "to"})
_CLOSING_NAMES = frozenset({"closing", "on", "plan"})


@dataclass(frozen=True)
class Kind:
    """One kind of trouble: the variants of its ``how``, and its fields with their defaults where they have one."""

    name: str
    variants: tuple[str, ...]
    fields: dict[str, float | None]
    usual: bool


def read_kinds(text: str) -> tuple[Kind, ...]:
    """All kinds that the text lists, the usual ones first."""
    kinds: list[Kind] = []
    usual = True
    for line in text.splitlines():
        matched = _KIND_LINE.fullmatch(line.strip())
        if matched and matched["name"] not in _CLOSING_NAMES:
            kinds.append(_read_kind(matched["name"], matched["text"], usual))
        elif kinds and _FURTHER_LINE.fullmatch(line.strip()):
            usual = False
    if not kinds:
        reason = "no line of the text has the form 'name: description'"
        raise FleetError(ErrorKind.INVALID, "read", "list of kinds", reason)
    return tuple(kinds)


def _read_kind(name: str, text: str, usual: bool) -> Kind:
    return Kind(name, _read_variants(text), _read_fields(text), usual)


def _read_fields(text: str) -> dict[str, float | None]:
    """The fields that the text names; of several defaults of one field the first counts."""
    fields: dict[str, float | None] = {}
    for found in _FIELD.finditer(text):
        default = found["default"]
        if fields.get(found["field"]) is None:
            fields[found["field"]] = None if default is None else float(default)
    return fields


def _read_variants(text: str) -> tuple[str, ...]:
    """The single words after each ``how:``, up to the end of its clause, without explanations in brackets."""
    alone = [found["variant"] for found in _VARIANT_ALONE.finditer(text)]
    listed: list[str] = []
    for clause in text.split("how: ")[1:]:
        listed += _variants_of_clause(clause)
    return tuple(dict.fromkeys([*listed, *alone]))


def _variants_of_clause(clause: str) -> list[str]:
    variants: list[str] = []
    inside, _, _ = _without_brackets(clause).partition(")")
    for part in re.split(r"[,;]", inside):
        words = part.split()
        if any(word in _PROSE_WORDS or word.endswith(":") for word in words):
            continue
        variants += [word for word in words if re.fullmatch(r"[a-z_]+", word)]
    return variants


def _without_brackets(text: str) -> str:
    """Text without its brackets, nested ones too."""
    while (shorter := _BRACKETS.sub("", text)) != text:
        text = shorter
    return text
