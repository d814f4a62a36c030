"""Scenes that break routing nodes: isolated, frozen, killed, stopped as planned, or everything lost at once."""

from finchswitch.rehearsal.scenes import accords, close_up, during, expect, mark_edit, open_up, pause, scene, transits
from finchswitch.rehearsal.theatre import Theatre


@scene
async def nodes_cut(theatre: Theatre) -> None:
    """Routing nodes are isolated, from control only, from peers only, from all, and in pairs."""

    async def faults(_: Theatre) -> None:
        for _at in range(3):
            count = theatre.chance.choice([1, 1, 2, 3])
            cut = theatre.chance.sample(transits(theatre), count)
            rest = [name for name in transits(theatre) if name not in cut]
            others = theatre.chance.choice([accords(theatre), rest, [*accords(theatre), *rest]])
            for name in cut:
                theatre.isolate(name, others, both=theatre.chance.random() < 0.7)
            await theatre.outside.sleep(theatre.chance.uniform(4_000, 8_000))
            theatre.net.heal_all()
            await pause(theatre, 1_000)

    await open_up(theatre)
    await during(theatre, 24_000, faults, changes=24)
    await close_up(theatre)


@scene
async def freezes(theatre: Theatre) -> None:
    """Machines of every kind freeze past every lease and wake."""

    async def faults(_: Theatre) -> None:
        for _at in range(4):
            name = theatre.chance.choice([*accords(theatre), *transits(theatre)])
            theatre.freeze(name)
            await theatre.outside.sleep(theatre.chance.uniform(500, 7_000))
            theatre.thaw(name)
            await pause(theatre, 700)

    await open_up(theatre)
    await during(theatre, 18_000, faults, changes=24)
    await close_up(theatre)


@scene
async def node_kills(theatre: Theatre) -> None:
    """Routing nodes are killed, singly and several together, and start again."""

    async def faults(_: Theatre) -> None:
        for _at in range(3):
            await pause(theatre, 1_500)
            names = theatre.chance.sample(transits(theatre), theatre.chance.choice([1, 2, 3]))
            for name in names:
                theatre.kill(name, power=theatre.chance.random() < 0.4)
            await pause(theatre, 2_500)
            for name in names:
                theatre.start(name)

    await open_up(theatre)
    await during(theatre, 10_000, faults)
    await close_up(theatre)


@scene
async def rolling_stop(theatre: Theatre) -> None:
    """Every routing node is stopped as planned and started again, under streams."""

    async def faults(_: Theatre) -> None:
        for name in transits(theatre):
            await theatre.stop_softly(name)
            await pause(theatre, 400)
            theatre.start(name)
            await theatre.outside.sleep(1_200)

    await open_up(theatre)
    await during(theatre, 10_000, faults)
    await close_up(theatre)
    short = sum(call.outcome != "complete" for call in theatre.history.calls)
    expect(theatre, short <= 0.02 * len(theatre.history.calls), f"{short} calls not complete")


@scene
async def big_loss(theatre: Theatre) -> None:
    """Every process of the fleet dies at once; a quarter of the service is back 12 s after the machines are."""
    await open_up(theatre)
    await theatre.insist(mark_edit("mark-before"), "mark-before")
    await theatre.call(2_000, 1.0)
    for name in [*accords(theatre), *transits(theatre)]:
        theatre.kill(name, power=True)
    await theatre.outside.sleep(3_000)
    for name in [*accords(theatre), *transits(theatre)]:
        theatre.start(name)
    await theatre.outside.sleep(12_000 - 3_000)
    await theatre.call(3_000, 1.0, "-back")
    back = [call for call in theatre.history.calls if "-back-" in call.request_id]
    good = sum(call.outcome == "complete" for call in back)
    expect(theatre, good >= 0.25 * len(back), f"{good} of {len(back)} served after the return")
    await close_up(theatre)
