"""A peer that speaks badly costs its own connection and nothing else."""

import anyio
import pytest

from finchswitch.distribution import NewsBook
from finchswitch.errors import ErrorKind, FleetError
from finchswitch.simulation.scenes import open_up
from finchswitch.transport import Book, Lane
from finchswitch.transport.netstring import pack

BAD = [
    b"99999999999:",
    b"9000000:{",
    b"abc:{},",
    b"5:hello,",
    b"2:{};",
    b"2:[],",
    pack({"kind": "beat"}),
    pack({"kind": "gone", "number": 1, "body": {}}),
    pack({"kind": "session.beat", "number": 1, "body": {}}),
    pack({"kind": "vote.prepare", "number": 1, "body": {"part": 5}}),
    pack({"kind": "news.follow", "number": 1, "body": {"have": [], "holdMs": 1}}),
    pack({"kind": "nonsense", "number": 1, "body": {}}),
]


@pytest.mark.parametrize("address", ["10.0.1.1:7100", "10.0.9.1:7100"])
def test_bad_frames_close_one_connection(staged, address):
    async def scene(cluster):
        await open_up(cluster)
        for frame in BAD:
            stream = await cluster.outside.dial(address, 500)
            await stream.send(frame)
            if frame == BAD[1]:
                await stream.aclose()
                continue
            with anyio.fail_after(2), pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                while True:
                    await stream.receive()
        await cluster.call(1_000, 1.0)
        assert all(call.outcome == "complete" for call in cluster.history.calls)

    assert len(staged(scene).calls) > 3


def test_an_ask_is_silent_over_a_cut_and_refused_by_a_closed_door(staged):
    async def scene(cluster):
        await open_up(cluster)
        async with anyio.create_task_group() as group:
            book = Book(cluster.outside, group)
            assert (await book.ask("10.0.1.1:7100", "peer.who", {}))["plane"] == "routing"
            cluster.net.cut("10.0.1.1", "10.0.0.1")
            with pytest.raises(FleetError) as silent:
                await book.ask("10.0.1.1:7100", "peer.who", {}, 300)
            with pytest.raises(FleetError) as refused:
                await book.ask("10.0.1.2:7999", "peer.who", {}, 300)
            assert (silent.value.kind, silent.value.step, silent.value.peer) == (
                ErrorKind.SILENT,
                "ask peer.who",
                "10.0.1.1:7100",
            )
            assert refused.value.kind is ErrorKind.REFUSED
            group.cancel_scope.cancel()

    staged(scene)


def test_a_peer_that_answers_badly_costs_only_its_link(staged):
    answers = [
        pack({"number": 1, "body": {}}) * 2,
        pack({"number": [1], "body": {}}),
        pack({"number": 1, "body": 3}),
        b"4:[[[[,",
        b"100000:" + b"[" * 100_000 + b",",
    ]

    async def scene(cluster):
        async with anyio.create_task_group() as group:
            listener = await cluster.outside.listen("10.0.0.1:1")
            book = Book(cluster.outside, group)
            for answer in answers:

                async def bad(answer=answer):
                    stream, _ = await listener.accept()
                    await stream.receive()
                    await stream.send(answer)

                group.start_soon(bad)
                if answer is answers[0]:
                    assert await book.ask("10.0.0.1:1", "x", {}) == {}
                    await cluster.outside.sleep(10)
                    key = ("10.0.0.1:1", Lane.SHORT)
                    book._drop(key, book._links[key])
                    continue
                with pytest.raises(FleetError):
                    await book.ask("10.0.0.1:1", "x", {})
            group.cancel_scope.cancel()

    staged(scene)


def test_a_beat_of_the_wrong_shape_is_not_believed(staged):
    async def scene(cluster):
        await open_up(cluster)
        node = cluster.processes["transit1"].node
        good = node.member.word(node.word)
        async with anyio.create_task_group() as group:
            book = Book(cluster.outside, group)
            for field, value in [("burden", {"x": [1]}), ("pace", {"x": "y"}), ("counts", []), ("held", {"x": 1})]:
                with pytest.raises(FleetError):
                    await book.ask("10.0.1.2:7100", "peer.beat", {**good, "name": "liar", field: value})
            group.cancel_scope.cancel()
        assert "liar" not in cluster.processes["transit2"].node.member.peers
        await cluster.call(1_000, 1.0)
        assert all(call.outcome == "complete" for call in cluster.history.calls)

    staged(scene)


@pytest.mark.parametrize(
    "news",
    [
        {"creed": []},
        {"creed": {"generation": "x", "body": {}}},
        {"creed": {"generation": 9, "body": 5}},
        {"creed": {"generation": 9, "changes": [[1]]}},
        {"creed": {"generation": 9, "changes": [[3, 9, [{"kind": "runners"}]]]}},
        {"creed": {"generation": 9, "changes": [[3, 9, [{"kind": "runners", "name": "no", "value": None}]]]}},
    ],
)
def test_bad_news_is_a_mishap_and_changes_nothing(news):
    book = NewsBook()
    book.take("creed", 3, {"runners": {"r": {}}})
    with pytest.raises(FleetError):
        book.take_in(news, "peer")
    assert (book.generation("creed"), book.body("creed")) == (3, {"runners": {"r": {}}})


def test_a_vote_of_the_wrong_shape_does_not_count(staged, monkeypatch):
    async def scene(cluster):
        await open_up(cluster)
        councils = {process.name: process.control for process in cluster.of_kind("accord")}
        owner = next(name for name, control in councils.items() if control.proposers["creed"].owns())
        twisted = {"yes": True, "promised": [99, "x"], "ballot": [0, ""], "document": []}
        for name, control in councils.items():
            if name != owner:
                monkeypatch.setattr(control.store.acceptors["creed"], "prepare", lambda ballot: twisted)
        cluster.kill(owner)
        await cluster.outside.sleep(2_000)
        assert not any(control.proposers["creed"].owns() for name, control in councils.items() if name != owner)
        monkeypatch.undo()
        assert (await cluster.insist({"edits": [{"kind": "services", "name": "x", "value": {}}]})).status == 200

    staged(scene)
