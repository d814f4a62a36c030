"""Fields of a configuration that are not known here: kept, read back, and changed by name."""

from finchswitch.configuration import apply_edits, read_configuration
from finchswitch.platform.configuration import document_of, edits_of, whole_of

ROUTE = {"name": "r-1", "host_name": "h.example", "path_prefix": "/a/", "timeout_ms": 9_000, "target_service": "s-1"}
LIMITS = {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304}
WHOLE = {"revision": 7, "routes": [ROUTE], "services": [{"name": "s-1"}], "limits": LIMITS}


def test_what_is_not_known_is_kept_read_back_and_changed_by_name():
    """No page calls an unknown field invalid; other deployments have more of them."""
    tenants = [{"name": "a", "quota": 5}, {"name": "b", "quota": 1}]
    sent = {**WHOLE, "colour": 1, "tenants": tenants, "zones": []}
    body = whole_of(sent).unwrap()
    assert read_configuration(body).unwrap().routes.keys() == {"r-1"}
    assert document_of(body) == sent
    upsert, remove = {"tenants": [{"name": "c"}, {"name": "a", "quota": 7}]}, {"tenants": ["b", "never"]}
    edits = edits_of({"revision": 9, "upsert": upsert, "remove": remove, "colour": 2}).unwrap()
    after = document_of(apply_edits(body, edits).unwrap())
    assert after == {**sent, "revision": 9, "colour": 2, "tenants": [{"name": "a", "quota": 7}, {"name": "c"}]}
