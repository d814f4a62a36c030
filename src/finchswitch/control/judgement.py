"""What a change means for a document: refused, remembered from an earlier sending, too old to tell, or proposed.

A judgement is a pure function of the change and of one document. Whether that document is the newest is for the
caller to establish: a refusal and a remembered change may only be told once a majority has confirmed the owner.
"""

from dataclasses import dataclass

from returns.result import Failure

from finchswitch.configuration import apply_edits, keep_unchanged
from finchswitch.configuration.reader import ConfigurationReader
from finchswitch.control.document import Document, digest_of, succeed
from finchswitch.control.orders import find_order, forgotten_mark
from finchswitch.transport import Message

__all__ = ["Judgement", "MaybeForgotten", "Proposed", "Refused", "Remembered", "judge_change"]


@dataclass(frozen=True)
class Refused:
    """The change does not fit the document; ``answer`` is what its operator is told."""

    answer: Message


@dataclass(frozen=True)
class Remembered:
    """The change was committed before, in this generation."""

    generation: int


@dataclass(frozen=True)
class MaybeForgotten:
    """The change builds on a base older than the oldest order remembered, so it may have been committed once."""


@dataclass(frozen=True)
class Proposed:
    """The change fits; ``following`` is the document to commit."""

    following: Document


Judgement = Refused | Remembered | MaybeForgotten | Proposed


def judge_change(document: Document, change: Message, reader: ConfigurationReader) -> Judgement:
    """Judge a change of the right shape against a document; the reader checks the configuration that it makes."""
    digest = digest_of([*_base(change), change.get("configuration"), change.get("edits")])
    order = find_order(document, change["changeId"], digest)
    if order is not None:
        return Remembered(order.generation) if order.same else _invalid(["changeId: used before for another change"])
    if _may_be_forgotten(document, change):
        return MaybeForgotten()
    held_revision = document["body"].get("settings", {}).get("revision", 0)
    stale = _stale(document, change, held_revision)
    if stale is not None:
        return stale
    edited = _edited(document, change)
    if isinstance(edited, list):
        return _invalid(edited)
    checked = reader.read(edited)
    if isinstance(checked, Failure):
        return _invalid(checked.failure())
    revision = checked.unwrap().settings.revision
    if revision <= held_revision if "baseRevision" in change else revision < held_revision:
        return _invalid([f"settings.revision: {revision} is not above {held_revision}"])
    recent = [change["changeId"], digest, document["generation"] + 1]
    return Proposed(succeed(document, edited, recent, document["group"]))


def _may_be_forgotten(document: Document, change: Message) -> bool:
    generation, revision = forgotten_mark(document)
    return bool(change["base"] < generation if "base" in change else change["baseRevision"] < revision)


def _base(change: Message) -> list[int]:
    return [change["base"]] if "base" in change else [-1, change["baseRevision"]]


def _invalid(wrong: list[str]) -> Refused:
    return Refused({"status": 422, "wrong": wrong})


def _stale(document: Document, change: Message, held_revision: int) -> Refused | None:
    generation = document["generation"]
    if change.get("base", generation) != generation:
        return Refused({"status": 409, "generation": generation, "reason": "built on another generation"})
    if change.get("baseRevision", held_revision) != held_revision:
        reason = "built on another revision"
        return Refused({"status": 409, "generation": generation, "revision": held_revision, "reason": reason})
    return None


def _edited(document: Document, change: Message) -> Message | list[str]:
    if "configuration" in change:
        whole = change["configuration"]
        if not isinstance(whole, dict):
            return ["configuration: not an object"]
        return keep_unchanged(document["body"], whole)
    edited = apply_edits(document["body"], change["edits"])
    return edited.failure() if isinstance(edited, Failure) else edited.unwrap()
