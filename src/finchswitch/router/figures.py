"""The figures that a routing node tells: what it holds and how old that is, and what became of requests."""

from finchswitch.metrics import Figure
from finchswitch.router.node import Node

__all__ = ["node_figures"]


def node_figures(node: Node) -> list[Figure]:
    """Everything that tells whether the configuration, the list of runners or the runners themselves are lacking."""
    held = {part: float(generation) for part, generation in node.news.generations().items()}
    wanted = {part: float(generation) for part, generation in node.member.wants().items()}
    follower = node.follower
    links = node.book.statistics
    return [
        Figure.single("finchswitch_ready", "1 while callers may be handed to this node.", float(node.ready())),
        Figure("finchswitch_generation", "Generation held of each part.", held, "part"),
        Figure("finchswitch_generation_wanted", "Newest generation heard of.", wanted, "part"),
        Figure.single("finchswitch_behind_ms", "How long newer news have been wanted.", follower.behind_ms()),
        Figure("finchswitch_news_asks", "Asks for news by their end.", dict(follower.ends), "end"),
        Figure.single("finchswitch_control_age_ms", "Since a control node was current.", node.member.control_age_ms()),
        Figure.single("finchswitch_list_age_ms", "Age of the list of runners.", node.roster.list_age_ms()),
        Figure.single("finchswitch_runners_listed", "Runners in the list as held.", float(node.roster.listed())),
        Figure.single("finchswitch_runners_up", "Runners that may be sent to.", float(len(node.roster.up()))),
        Figure("finchswitch_calls", "Requests by what became of them.", _floats(node.vitals), "outcome"),
        Figure("finchswitch_refusals", "Requests refused here, by reason.", _floats(node.refusals), "reason"),
        Figure.single("finchswitch_link_bytes", "Bytes read from other processes.", float(links.bytes_read)),
        Figure.single("finchswitch_links_given_up", "Links closed for silence.", float(links.given_up)),
        *node.lifecycle.figures(),
    ]


def _floats(counts: dict[str, int]) -> dict[str, float]:
    return {name: float(count) for name, count in counts.items()}
