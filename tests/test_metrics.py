"""The figures that processes tell: enough to say what a node that does not serve is lacking."""

import signal

import httpx
import pytest
from prometheus_client.parser import text_string_to_metric_families

from finchswitch.errors import FleetError
from finchswitch.lifecycle import Lifecycle, Phase, PhaseEvent
from finchswitch.metrics import exposition
from finchswitch.simulation.core_losses import open_core
from finchswitch.simulation.deployments import Deployment
from finchswitch.simulation.play import play
from finchswitch.simulation.scenes import open_up


async def read_metrics(cluster, name):
    async with httpx.AsyncClient(transport=cluster.outside.http_transport()) as client:
        answer = await client.get(f"http://{cluster.processes[name].host}:8000/metrics")
    samples = [each for family in text_string_to_metric_families(answer.text) for each in family.samples]
    return {(each.name, *each.labels.values()): each.value for each in samples}


def test_figures_tell_a_node_without_news_from_one_that_holds_the_newest(staged):
    seen = {}

    async def scene(cluster):
        await open_up(cluster)
        await cluster.call(1_000, 1.0)
        seen["before"] = await read_metrics(cluster, "transit1")
        await cluster.insist({"edits": [{"kind": "services", "name": "more", "value": {}}]})
        seen["after"] = await read_metrics(cluster, "transit1")
        seen["controls"] = [await read_metrics(cluster, name) for name in cluster.control_nodes()]

    staged(scene)
    before, after = seen["before"], seen["after"]
    assert before["finchswitch_ready",] == 1
    assert before["finchswitch_runners_up",] == 4  # its three, and the spare
    assert before["finchswitch_runners_listed",] == 4
    assert before["finchswitch_calls", "complete"] > 0
    assert before["finchswitch_control_age_ms",] < 1_500
    assert after["finchswitch_generation", "creed"] == before["finchswitch_generation", "creed"] + 1
    assert after["finchswitch_behind_ms",] == 0
    assert sum(each["finchswitch_owns", "creed"] for each in seen["controls"]) == 1
    assert all(each["finchswitch_current_age_ms", "creed"] >= 0 for each in seen["controls"])
    assert all(each["finchswitch_sessions", "standing"] == 4 for each in seen["controls"])


def test_figures_tell_a_group_that_is_crowded_from_one_that_is_spread():
    """Guards against a group that stands in fewer zones than it could, with nothing that shows it."""
    districts = ["zone-a", "zone-a", "zone-b", "zone-b", "zone-c"]
    seen = []

    async def scene(cluster):
        await open_core(cluster)
        owners = [a.name for a in cluster.of_kind("accord") if a.control.proposers["creed"].owns()]
        seen.append(await read_metrics(cluster, owners[0]))

    play(scene, Deployment("core", [], 5, 1, 1, [], core_districts=districts), 1)
    assert seen[0]["finchswitch_group_domains", "creed"] == 3
    assert seen[0]["finchswitch_domains",] == 3


def test_figures_tell_the_phase_and_the_signals_of_each_phase():
    lifecycle = Lifecycle("transit")
    lifecycle.move(PhaseEvent.OPENED)
    lifecycle.received(signal.SIGHUP)
    lifecycle.move(PhaseEvent.STOP)
    lifecycle.received(signal.SIGHUP)
    lifecycle.received(signal.SIGHUP)
    text = exposition(lifecycle.figures()).decode()
    assert 'finchswitch_phase{phase="stopping"} 1.0' in text
    assert 'finchswitch_phase{phase="serving"} 0.0' in text
    assert 'finchswitch_signals{signal="SIGHUP serving"} 1.0' in text
    assert 'finchswitch_signals{signal="SIGHUP stopping"} 2.0' in text


def test_a_phase_moves_only_as_its_chart_says():
    lifecycle = Lifecycle("transit")
    with pytest.raises(FleetError):
        lifecycle.move(PhaseEvent.STOPPED)
    lifecycle.move(PhaseEvent.STOP)  # a stop may come before the doors are open
    lifecycle.move(PhaseEvent.STOPPED)
    assert lifecycle.phase is Phase.ENDING
