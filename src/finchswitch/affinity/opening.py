"""An opening: the part of a prompt that many prompts share, known by a digest.

It is the service and the leading system messages. A prompt without system messages has an opening of its own
service only, which costs nothing to be missed. Token counts are estimates from lengths.
"""

import hashlib
from dataclasses import dataclass
from typing import Any

from finchswitch.constants import CHARS_A_TOKEN

__all__ = ["Opening", "opening_of"]


@dataclass(frozen=True)
class Opening:
    service: str
    digest: str
    opening_tokens: int
    own_tokens: int
    answer_tokens: int = 0  # the most that its answer may have; 0 where nobody says


def opening_of(service: str, messages: list[dict[str, Any]]) -> Opening:
    """The opening of a prompt.

    >>> one = opening_of("m", [{"role": "system", "content": "abcd" * 5}, {"role": "user", "content": "hi"}])
    >>> two = opening_of("m", [{"role": "system", "content": "abcd" * 5}, {"role": "user", "content": "ho"}])
    >>> one.digest == two.digest, one.opening_tokens, one.own_tokens
    (True, 5, 1)
    """
    digest = hashlib.sha256(service.encode() + b"\0")
    opening_chars, own_chars, leading = 0, 0, True
    for message in messages:
        content = message.get("content")
        text = content if isinstance(content, str) else repr(content)
        leading = leading and message.get("role") == "system"
        if leading:
            digest.update(text.encode() + b"\0")
            opening_chars += len(text)
        else:
            own_chars += len(text)
    opening_tokens, own_tokens = -(-opening_chars // CHARS_A_TOKEN), -(-own_chars // CHARS_A_TOKEN)
    return Opening(service, digest.hexdigest()[:20], opening_tokens, own_tokens)
