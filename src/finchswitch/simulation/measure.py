"""Measuring the design in the cluster: the same seed, deployment and condition under one draw or another."""

from collections import Counter
from dataclasses import dataclass, replace
from typing import Any

import anyio

from finchswitch.affinity import Beliefs, Draws
from finchswitch.simulation.checkers import judge
from finchswitch.simulation.cluster import Cluster
from finchswitch.simulation.deployments import DEPLOYMENTS, Deployment
from finchswitch.simulation.history import History, RunSeen
from finchswitch.simulation.play import play
from finchswitch.simulation.report import make_report
from finchswitch.simulation.rivals import RIVALS

__all__ = ["CONDITIONS", "Trial", "measure"]

CONDITIONS = ("steady", "crowd", "lost", "plan")


@dataclass(frozen=True)
class Trial:
    deployment: str
    condition: str
    draw: str
    seed: int
    seconds: int = 15
    hot_most: int | None = None
    spill_share: float | None = None
    belief_ms: float | None = None
    cache_tokens: int | None = None  # of each runner
    warm_s: int = 8  # calls asked from then on are counted as warm


def measure(trial: Trial) -> dict[str, Any]:
    """One trial's figures."""

    async def scene(cluster: Cluster) -> None:
        await _conduct(cluster, trial)

    history = play(scene, _deployment(trial), trial.seed)
    return {**vars(trial), **_figures(history, trial), "breaches": sorted(judge(history))}


def _deployment(trial: Trial) -> Deployment:
    deployment = DEPLOYMENTS[trial.deployment]
    if trial.condition == "crowd":  # one opening draws most of the short traffic, at half as much again
        short = replace(deployment.traffic[0], per_s=deployment.traffic[0].per_s * 1.5, skew=3.0)
        return replace(deployment, traffic=[short, *deployment.traffic[1:]])
    return deployment


async def _conduct(cluster: Cluster, trial: Trial) -> None:
    configuration = cluster.deployment.configuration()
    if trial.cache_tokens is not None:
        for runner in cluster.runners.values():
            runner.traits.cache_tokens = trial.cache_tokens
    for service in configuration["services"].values():
        service.update({} if trial.hot_most is None else {"hotMost": trial.hot_most})
    configuration["settings"].update({} if trial.spill_share is None else {"spillShare": trial.spill_share})
    for process in cluster.of_kind("transit"):
        node = process.node
        while node is None:
            await cluster.outside.sleep(10)
            node = process.node
        if trial.belief_ms is not None:
            node.beliefs = Beliefs(trial.belief_ms)
        node.draws = _draws(trial.draw, node.beliefs, node.burdens, node.world.chance)
    await cluster.insist({"configuration": configuration})
    await cluster.settle()
    async with anyio.create_task_group() as group:
        group.start_soon(cluster.call, 1000 * trial.seconds, 1.0)
        await cluster.outside.sleep(1000 * trial.seconds / 4)
        first = cluster.deployment.runner_names()[0]
        if trial.condition == "lost":
            cluster.kill(f"{first}-i1")
            cluster.platform.remove(f"{first}-i1")
        elif trial.condition == "plan":
            bindings = [each.service for each in cluster.deployment.traffic]
            value = {"leaving": [first], "arriving": cluster.deployment.spare, "bindings": bindings}
            await cluster.insist({"edits": [{"kind": "plans", "name": "move", "value": value}]})


def _draws(name: str, *parts: Any) -> Draws:
    return RIVALS[name](*parts)


def _figures(history: History, trial: Trial) -> dict[str, Any]:
    """All calls, and those of the warm time by themselves; the floor has each opening prefilled once, all else kept."""
    report = make_report(history)
    first = min(call.asked_ms for call in history.calls)
    warm = [call for call in history.calls if call.asked_ms >= first + 1000 * trial.warm_s]
    began = {call.request_id for call in warm}
    warm_runs = [run for run in history.runs if run.request_id in began]
    tokens = {each.service: each.opening_tokens for each in DEPLOYMENTS[trial.deployment].traffic}

    def own(runs: list[RunSeen]) -> int:
        return sum(run.prefill_tokens - (0 if run.cached else tokens[run.service]) for run in runs)

    once = sum(each.openings * each.opening_tokens for each in DEPLOYMENTS[trial.deployment].traffic)
    runs = Counter(run.runner for run in history.runs)
    mean = sum(runs.values()) / max(1, len(runs))
    refused = sum(call.status == 429 or call.status == 503 for call in history.calls)
    firsts = {name: each["first_ms"] for name, each in report["services"].items()}
    return {
        "calls": len(history.calls),
        "hits": report["hit_share"],
        "prefill": report["prefill_tokens"],
        "floor": own(history.runs) + once,
        "warm": {
            "calls": len(warm),
            "refused": sum(call.status in (429, 503) for call in warm),
            "incomplete": sum(call.outcome != "complete" for call in warm),
            "prefill": sum(run.prefill_tokens for run in warm_runs),
            "floor": own(warm_runs),
            "firstMs": {name: each["first_ms"] for name, each in make_report(History(calls=warm))["services"].items()},
        },
        "firstMs": firsts,
        "refused": refused,
        "complete": sum(call.outcome == "complete" for call in history.calls),
        "spread": round(max(runs.values(), default=0) / max(1.0, mean), 2),
    }
