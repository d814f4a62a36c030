"""The searches that ``finchswitch check-model`` makes, each with the troubles that it allows."""

from finchswitch.checking.state import Order, Scenario, Troubles

__all__ = ["SCENARIOS"]

_THREE, _FIVE = ("a", "b", "c"), ("a", "b", "c", "d", "e")
_RIVALS = (Order("x", 0), Order("y", 0))
_CHAIN = (Order("x", 0), Order("y", 1))

_ONE = _RIVALS[:1]
_ALL = [
    Scenario("rivals", _THREE, (), _RIVALS, 1, Troubles(stands=1, late=1)),
    Scenario("chain", _THREE, (), (*_RIVALS, Order("z", 1)), 1, Troubles(stands=1)),
    Scenario("again", _THREE, (), _RIVALS, 2, Troubles(stands=1)),
    Scenario("crash", _THREE, (), _RIVALS, 1, Troubles(stands=1, crashes=1)),
    Scenario("elections", _THREE, (), _ONE, 1, Troubles(stands=2, crashes=1), owner_first=False),
    Scenario("refusal", _THREE, (), _CHAIN, 1, Troubles(stands=1)),
    Scenario("read", _THREE, (), _ONE, 1, Troubles(stands=1, reads=1)),
    Scenario("answers", _THREE, (), _ONE, 1, Troubles(stands=1, answers=1)),
    Scenario("late", _THREE, (), _ONE, 1, Troubles(stands=1, late=1)),
    Scenario("doubled", _THREE, (), _CHAIN, 1, Troubles(stands=1, doubles=1, late=1)),
    Scenario("one-owner", _THREE, (), _RIVALS, 2, Troubles(), waits_for_lock=True),
    Scenario("group", _THREE, ("d",), (), 0, Troubles(stands=1, swaps=1)),
    Scenario("swap", _THREE, ("d",), _ONE, 1, Troubles(stands=1, swaps=1)),
    Scenario("wipe", _THREE, (), _ONE, 1, Troubles(stands=1, wipes=1)),
    Scenario("wipe-swap", _THREE, (), _ONE, 1, Troubles(stands=1, wipes=1, swaps=1)),
    Scenario("torn", _THREE, (), _ONE, 1, Troubles(stands=1, tears=1)),
    Scenario("four", ("a", "b", "c", "d"), (), _ONE, 1, Troubles(stands=1)),
    Scenario("five", _FIVE, (), _ONE, 1, Troubles(stands=1)),
]
SCENARIOS = {each.name: each for each in _ALL}
