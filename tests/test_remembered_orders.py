"""An order that was taken is never refused when it is sent again: after many others, to any node."""

import json

from finchswitch.constants import ORDER_BLOCKS_MOST, ORDERS_A_BLOCK
from finchswitch.control import orders
from finchswitch.control.document import founding_document, grow, shrink, succeed
from finchswitch.control.orders import TakenOrder, find_order, forgotten_mark
from finchswitch.simulation.deployments import CORE
from finchswitch.simulation.play import play
from finchswitch.simulation.scenes import mark_edit

OTHERS = 1_000
GROUP = ["a", "b", "c"]
MOST = ORDERS_A_BLOCK * ORDER_BLOCKS_MOST


def test_the_first_order_is_acknowledged_again_after_a_thousand_others():
    answers = []

    async def scene(cluster):
        await cluster.insist({"configuration": cluster.deployment.configuration()})
        first = await cluster.change(1, mark_edit("mark-first"), "mark-first")
        assert first.status == 200
        base = first.generation
        for at in range(OTHERS):
            base = (await cluster.change(base, mark_edit(f"mark-{at % 8}"), at="accord1")).generation
        assert base == first.generation + OTHERS
        for process in cluster.of_kind("accord"):
            content, sent = mark_edit("mark-first"), {"change_id": first.change_id, "again": True}
            again = await cluster.change(1, content, "mark-first", at=process.name, **sent)
            answers.append((again.status, again.generation))

    play(scene, CORE, 1)
    assert answers == [(200, 2)] * 3


def body_at(revision):
    return {"settings": {"revision": revision}}


def after_orders(count, document=None, since=0):
    """A document after so many orders, each grown from the one before as a store would; order n makes generation n."""
    document = document or founding_document("f", "creed", GROUP)
    for at in range(since + 1, since + count + 1):
        following = succeed(document, body_at(at), [f"order-{at}", f"content-{at}", at], GROUP)
        delta = json.loads(json.dumps(shrink(document, following)))
        assert grow(document, delta) == following
        document = following
    return document


def test_as_many_orders_are_remembered_as_the_constants_say_and_the_mark_tells_of_the_others():
    count = MOST + 2 * ORDERS_A_BLOCK
    document = after_orders(count)
    generation, revision = forgotten_mark(document)
    assert generation == revision == 2 * ORDERS_A_BLOCK
    for at in range(1, count + 1):
        found = find_order(document, f"order-{at}", f"content-{at}")
        base = at - 1
        assert found == TakenOrder(at, True) if at > generation else (found is None and base < generation)
    assert not find_order(document, f"order-{count}", "another content").same
    assert len(json.dumps(document)) < 28 * MOST


def test_a_commit_carries_only_what_is_new_of_the_orders():
    document = after_orders(MOST)
    sizes = []
    for at in range(MOST + 1, MOST + 2 * ORDERS_A_BLOCK):
        following = succeed(document, body_at(at), [f"order-{at}", "c", at], GROUP)
        sizes.append(len(json.dumps(shrink(document, following))))
        document = following
    assert max(sizes) < 24 * ORDERS_A_BLOCK + 500


def test_orders_in_the_older_form_are_found_and_taken_over():
    older = {**founding_document("f", "creed", GROUP), "generation": 300, "body": body_at(300)}
    older["recent"] = [[f"old-{at}", "d", at] for at in range(45, 301)]
    assert find_order(older, "old-45", "d") == TakenOrder(45, True)
    assert not find_order(older, "old-45", "e").same
    newer = succeed(older, body_at(301), ["new", "d", 301], GROUP)
    assert grow(older, shrink(older, newer)) == newer
    assert newer["recent"] == []
    assert [find_order(newer, f"old-{at}", "d") for at in (44, 45, 300)] == [
        None,
        TakenOrder(45, True),
        TakenOrder(300, True),
    ]
    assert forgotten_mark(newer) == (44, 301)


def test_a_delta_of_the_version_before_is_read_and_one_of_this_version_is_not_taken_for_one_of_that():
    base = after_orders(3)
    following = {**base, "step": 4, "generation": 4, "recent": [["by-old", "d", 4]]}
    older_delta = {"base": 3, "rest": {k: v for k, v in following.items() if k != "body"}, "edits": []}
    assert grow(base, older_delta) == following
    assert find_order(following, "by-old", "d") == TakenOrder(4, True)
    assert find_order(succeed(following, {}, ["n", "d", 5], GROUP), "order-1", "content-1") == TakenOrder(1, True)
    assert shrink(base, following)["base"] != base["step"]  # an older store then asks for the whole document


def test_an_order_that_may_have_been_forgotten_gets_no_clear_answer(monkeypatch):
    monkeypatch.setattr(orders, "ORDERS_A_BLOCK", 2)
    monkeypatch.setattr(orders, "ORDER_BLOCKS_MOST", 3)
    answers = []

    async def scene(cluster):
        await cluster.insist({"configuration": cluster.deployment.configuration()})
        base = 1
        for at in range(10):
            base = (await cluster.change(base, mark_edit(f"mark-{at}"), change_id=f"order-{at}")).generation
        for at in range(10):
            sent = {"change_id": f"order-{at}", "again": True}
            answers.append((await cluster.change(at + 1, mark_edit(f"mark-{at}"), **sent)).status)
        answers.append((await cluster.change(10, mark_edit("stale"), change_id="never taken")).status)

    play(scene, CORE, 1)
    assert answers[:4] == [504] * 4
    assert answers[6:] == [200] * 4 + [409]
    assert {*answers[4:6]} <= {200, 504}
