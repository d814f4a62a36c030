"""Whether confirmed reads returned the content that the writes lead to.

The contents that a number may have are followed along the chain of writes. Where several writes of open fate are on
one base, each of them may have been taken, so there are several; reads leave only those that were read.
"""

from collections import defaultdict

from finchswitch.simulation.register_history import Content, RegisterHistory, Write, apply_write, content_digest

__all__ = ["CONTENTS_MOST", "check_contents"]

CONTENTS_MOST = 256  # contents followed for one number; histories with more open choices than that are not judged


def check_contents(history: RegisterHistory, candidates: dict[int, list[Write]]) -> list[str]:
    """A line for each number that was read with a content which no choice of writes leads to."""
    read_as: dict[int, set[str]] = defaultdict(set)
    for read in history.reads:
        if read.number is not None and read.digest:
            read_as[read.number].add(read.digest)
    lines = []
    for number, digests in sorted(read_as.items()):
        if len(digests) > 1:
            lines.append(f"number {number} was read with {len(digests)} different contents")
    return lines + _contents_at_odds(read_as, candidates)


def _contents_at_odds(read_as: dict[int, set[str]], candidates: dict[int, list[Write]]) -> list[str]:
    possible: list[Content] = [{}]
    for number in sorted(candidates):
        possible = _followed(possible, candidates[number])
        if not possible or len(possible) > CONTENTS_MOST:
            return []
        seen = read_as.get(number)
        if seen is None:
            continue
        possible = [content for content in possible if content_digest(content) in seen]
        if not possible:
            return [f"number {number} was read with a content that no write on base {number - 1} leads to"]
    return []


def _followed(possible: list[Content], writes: list[Write]) -> list[Content]:
    following = [apply_write(content, write.change) for content in possible for write in writes]
    if len(following) < 2:
        return following
    return list({content_digest(content): content for content in following}.values())
