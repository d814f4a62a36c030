"""HAR replay keeps the pace, skips what is not ours, and names what is broken."""

import json

import httpx
import pytest

from finchswitch.simulation.replay import read_recording, replay
from finchswitch.simulation.scenes import open_up

BODY = {"model": "rulings", "stream": True, "max_tokens": 3, "messages": [{"role": "user", "content": "hi"}]}


def entry(second, method="POST", path="/v1/chat/completions", body=BODY):
    headers = [{"name": "X-Due-Ms", "value": "900"}]
    request = {"method": method, "url": f"http://192.0.2.1:8000{path}", "headers": headers}
    request["postData"] = {"mimeType": "application/json", "text": json.dumps(body)}
    return {"startedDateTime": f"2026-01-01T00:00:{second:06.3f}Z", "request": request, "response": {}}


def har(tmp_path, entries):
    file = tmp_path / "recorded.har"
    file.write_text(json.dumps({"log": {"version": "1.2", "entries": entries}}))
    return file


def test_replay_at_the_recorded_pace(tmp_path, staged):
    entries = [entry(4.5), entry(1.0), entry(2.0, path="/other"), entry(2.5, method="GET"), entry(1.75)]
    recording = read_recording(har(tmp_path, entries)).unwrap()
    assert recording.skipped == 2 and [each.at_ms for each in recording.requests] == [0, 750, 3500]
    assert recording.requests[0].headers == {"x-due-ms": "900"}
    outcomes = []

    async def scene(cluster):
        await open_up(cluster)
        async with httpx.AsyncClient(transport=cluster.outside.http_transport()) as client:
            outcomes.append(await replay(cluster.outside, client, "10.0.1.1:8000", recording, 1.0))

    runs = sorted(staged(scene).runs, key=lambda run: run.at_ms)
    assert outcomes == [{"complete": 3}]
    assert [run.at_ms - runs[0].at_ms for run in runs] == pytest.approx([0, 750, 3500], abs=20)


@pytest.mark.parametrize(
    "content, place",
    [
        ("{", "line 1 column 2"),
        ("{}", "required"),
        ('{"log": {}}', "lacks 'entries'"),
        ('{"log": {"entries": [{}]}}', "log.entries.0"),
        (json.dumps({"log": {"entries": [entry(1), {**entry(2), "startedDateTime": "x"}]}}), "log.entries.1"),
    ],
)
def test_a_broken_file_is_named_with_its_place(tmp_path, content, place):
    file = tmp_path / "broken.har"
    file.write_text(content)
    said = read_recording(file).failure()
    assert "broken.har" in said and place in said
