"""An owner whose ballot was overtaken steps down when it asks for confirmation, even if the later candidate failed."""

import pytest

from finchswitch.control.document import founding_document
from finchswitch.control.ownership import Ownership
from finchswitch.control.rounds import Verdict

GROUP = ["a", "b", "c"]


def owner():
    """An owner by ballot 1 of a part of three stores."""
    document = founding_document("fleet", "part-0", GROUP)
    claim = Ownership("part-0", "a")
    election = claim.begin_stand(document)
    election.start()
    for store in ("a", "b"):
        election.receive(store, {"yes": True, "promised": claim.ballot, "ballot": (0, ""), "document": document})
    assert claim.elected(election.found, election.found_ballot) is not None
    assert claim.reclaimed(election.found, True)
    return claim


def confirmed(claim, answers):
    """Run a confirmation with the answers given by store, and judge it."""
    confirmation = claim.begin_check()
    confirmation.start()
    for store, answer in answers.items():
        confirmation.receive(store, answer)
    return claim.checked(confirmation, confirmation.verdict is Verdict.WON)


def holds(claim):
    return {"yes": True, "promised": claim.ballot}


LATER = {"yes": False, "promised": (2, "b")}


def test_an_overtaken_owner_steps_down_and_stands_with_a_later_ballot():
    claim = owner()
    assert not confirmed(claim, {"a": holds(claim), "b": LATER, "c": LATER})
    assert not claim.owns()
    assert claim.begin_stand(founding_document("fleet", "part-0", GROUP)) is not None


@pytest.mark.parametrize("silent", [None, {"yes": False, "promised": (0, "")}])
def test_silence_or_a_store_without_a_vote_does_not_end_an_ownership(silent):
    claim = owner()
    assert not confirmed(claim, {"a": holds(claim), "b": silent, "c": silent})
    assert claim.owns()


def test_one_later_promise_does_not_end_an_ownership_that_a_majority_confirms():
    claim = owner()
    assert confirmed(claim, {"b": LATER, "a": holds(claim), "c": holds(claim)})
    assert claim.owns()
