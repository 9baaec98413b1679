"""Guards against forged, lost and unreviewed changes through the console."""

import asyncio
import contextlib
import hashlib
import html
import re

import hypothesis
import pytest
from hypothesis import strategies
from starlette import datastructures
from starlette import testclient
from support import fake_store
from support import sample_document
from support import virtual_clock

from bramleyworks import errors
from bramleyworks.console import console_app
from bramleyworks.console import item_form
from bramleyworks.console import sections
from bramleyworks.document import codec
from bramleyworks.document import new_key
from bramleyworks.operations import config_writer

URL = "http://127.0.0.1:8090"


class Browser:
    """Loads pages and submits forms as a browser does."""

    def __init__(self, store):
        @contextlib.asynccontextmanager
        async def open_store():
            yield store

        self.store = store
        app = console_app.build(open_store, "http://store", (), "ana")
        self.client = testclient.TestClient(app, URL)

    def get(self, path, **kwargs):
        self.page = self.client.get(path, **kwargs)
        return html.unescape(self.page.text)

    def token(self):
        return re.search(r'name="token" value="([^"]+)"', self.page.text)[1]

    def post(self, path, origin=URL, **fields):
        fields = {"token": self.token()} | fields
        headers = {"origin": origin} if origin else {}
        self.page = self.client.post(path, data=fields, headers=headers)
        return html.unescape(self.page.text)

    def apply(self, **fields):
        self.get("/review")
        digest = re.search(r'name="digest" value="([^"]+)"', self.page.text)
        fields = {"digest": digest[1] if digest else "", "author": "ana"}
        return self.post("/review", **fields)

    def in_force(self):
        return asyncio.run(config_writer.read(self.store)).unwrap()[0]


@pytest.fixture
def store():
    created = fake_store.FakeStore(virtual_clock.VirtualClock())
    doc = sample_document.build()
    asyncio.run(
        config_writer.apply(created, doc, 0, "rui", 1.0, "id0")
    ).unwrap()
    return created


@pytest.fixture
def browser(store):
    opened = Browser(store)
    with opened.client:
        yield opened


def _organisation(**fields):
    return {
        "identity": "hanbit",
        "name": "hanbit",
        "rate_per_s": "150",
        "burst": "200",
        "weight": "1",
    } | fields


def test_every_page_is_served_without_scripts(browser):
    paths = ["/status", "/audit", "/draft", "/review"]
    for name in sections.BY_NAME:
        paths += [f"/draft/{name}", f"/draft/{name}/new"]
        if name not in ("drains", "moves"):
            paths.append(f"/draft/{name}/0")
    for path in paths:
        text = browser.get(path)
        assert browser.page.status_code == 200, path
        assert "<script" not in text and "<h1>" in text
        assert (
            "default-src 'none'"
            in (browser.page.headers["content-security-policy"])
        )


def test_an_edit_is_reviewed_and_applied(browser):
    browser.get("/draft/organisations/0")
    browser.post("/draft/organisations/0", **_organisation())
    review = browser.get("/review")
    assert "organisations[hanbit].rate_per_s" in review
    assert browser.in_force().version == 1
    assert "Version 2 is written" in browser.apply()
    stored = browser.in_force()
    assert stored.doc.organisations[0].rate_per_s == 150
    assert stored.history[0].author == "ana"
    assert "rate_per_s changed from 100 to 150" in browser.get("/audit")


def test_an_edit_during_an_apply_is_kept(browser, monkeypatch):
    put = browser.store.put

    async def put_and_edit(key, value, expected_revision):
        drafts = browser.client.app.state.console.drafts
        session, current = next(iter(drafts._drafts.items()))
        drafts.put(session, current.without_item("client_blocks", 0))
        return await put(key, value, expected_revision)

    browser.get("/draft/organisations/0")
    browser.post("/draft/organisations/0", **_organisation())
    monkeypatch.setattr(browser.store, "put", put_and_edit)
    browser.apply()
    monkeypatch.undo()
    assert "Draft from version 2,\n1 change not applied" in browser.get(
        "/draft"
    )
    browser.apply()
    assert browser.in_force().doc.client_blocks == ()
    assert browser.in_force().doc.organisations[0].rate_per_s == 150


def test_an_unchanged_form_changes_nothing(browser):
    """The form shows numbers rounded and times in UTC; neither is an edit."""
    edits = [(("moves",), [sample_document.move(start_s=1e9 + 0.123456)])]
    doc = sample_document.build(*edits)
    for part in sections.BY_NAME.values():
        for item in getattr(doc, part.name):
            form = datastructures.FormData(
                [
                    (name, text)
                    for name, shown in item_form.format_fields(
                        part, item
                    ).items()
                    for text in ([shown] if isinstance(shown, str) else shown)
                ]
            )
            assert item_form.parse(part, form, item).item == item


def test_errors_are_shown_beside_their_fields(browser):
    browser.get("/draft/organisations/0")
    text = browser.post(
        "/draft/organisations/0", **_organisation(rate_per_s="fast")
    )
    assert browser.page.status_code == 422
    assert 'id="error-rate_per_s">must be a number, requests per sec' in text
    assert 'value="fast"' in text
    assert "0 changes not applied" in text
    text = browser.post("/draft/organisations/0", **_organisation(burst="0"))
    assert 'id="error-burst">must be 1 to 10,000,000 requests, is 0' in text
    assert "organisations[0].burst" in browser.get("/review")
    assert "Apply these changes" not in browser.page.text
    # The page has no button to apply, so the test posts the form directly.
    draft = browser.client.get("/draft.json").content
    browser.get("/draft")
    digest = hashlib.sha256(draft).hexdigest()
    text = browser.post("/review", digest=digest, author="ana")
    assert browser.page.status_code == 422
    assert "breaks 1 rule" in text
    assert browser.in_force().version == 1


def test_a_new_key_is_shown_once_and_kept_as_a_digest(browser):
    browser.get("/draft/organisations/0")
    fields = {"identity": "hanbit", "key_id": "hanbit-2"}
    text = browser.post("/draft/organisations/0/keys", **fields)
    key = re.search(r'class="key">([^<]+)<', text)[1]
    assert key not in browser.get("/draft/organisations/0")
    second = browser.post("/draft/organisations/0/keys", **fields)
    assert "No key was made" in second and 'class="key"' not in second
    browser.apply()
    keys = browser.in_force().doc.organisations[0].keys
    assert keys[1].digest == new_key.digest(key)
    stored = asyncio.run(browser.store.get("config")).value
    assert key.encode() not in stored


def test_a_key_is_withdrawn_with_a_warning(browser):
    browser.get("/draft/organisations/0")
    path = "/draft/organisations/0/keys/0/withdraw"
    browser.post(path, identity="hanbit", key_id="other")
    assert browser.page.status_code == 409
    browser.get("/draft/organisations/0")
    browser.post(path, identity="hanbit", key_id="hanbit-1")
    assert "key hanbit-1 of hanbit stops working" in browser.get("/review")
    browser.apply()
    assert browser.in_force().doc.organisations[0].keys == ()


def test_a_route_a_drain_and_a_move_are_added(browser, monkeypatch):
    monkeypatch.setattr("time.time", lambda: sample_document.NOW_S)
    browser.get("/draft/routes/new")
    browser.post(
        "/draft/routes/new",
        prefix="/new",
        service="store-desk",
        access="open",
        idempotent_methods=["GET", "PUT"],
    )
    browser.get("/draft/drains/new")
    browser.post("/draft/drains/new", kind="region", target="honam")
    browser.get("/draft/moves/new")
    browser.post(
        "/draft/moves/new",
        id="m1",
        service="store-desk",
        from_version="v1",
        to_version="v2",
        start_s="2027-01-15T08:00",
        deadline_s="2027-01-15T08:10:00",
    )
    assert "route /new is open to all" in browser.get("/review")
    assert "Version 2 is written" in browser.apply()
    doc = browser.in_force().doc
    assert doc.routes[-1].idempotent_methods == ("GET", "PUT")
    assert doc.drains[0].target == "honam"
    assert doc.moves[0].deadline_s == sample_document.NOW_S + 600


def test_an_item_is_removed_only_if_its_identity_matches(browser):
    """Removing an item in another tab shifts the indexes of the others."""
    browser.get("/draft/client_blocks")
    browser.post("/draft/client_blocks/0/delete", identity="10.9.0.0/16")
    assert browser.page.status_code == 409
    browser.get("/draft/client_blocks")
    browser.post("/draft/client_blocks/0/delete", identity="10.1.0.0/16")
    browser.apply()
    assert browser.in_force().doc.client_blocks == ()


def test_a_draft_edited_after_its_review_is_not_applied(browser):
    browser.get("/draft/organisations/0")
    browser.post("/draft/organisations/0", **_organisation())
    browser.get("/review")
    text = browser.post("/review", digest="0" * 64, author="ana")
    assert browser.page.status_code == 409
    assert "changed since this review" in text
    assert browser.in_force().version == 1


def test_applying_a_stale_draft_shows_the_other_change(browser):
    browser.get("/draft/organisations/0")
    browser.post("/draft/organisations/0", **_organisation())
    browser.get("/review")
    digest = re.search(r'name="digest" value="([^"]+)"', browser.page.text)[1]
    edit = (("organisations", 1, "rate_per_s"), 70)
    doc = sample_document.build(edit)
    asyncio.run(
        config_writer.apply(browser.store, doc, 1, "rui", 2.0, "id1")
    ).unwrap()
    text = browser.post("/review", digest=digest, author="ana")
    assert browser.page.status_code == 409
    assert "version 2 by rui" in text
    assert "organisations[dasan].rate_per_s changed from 100 to 70" in text
    assert browser.in_force().version == 2


def test_an_unknown_outcome_shows_the_apply_id_and_keeps_the_draft(
    browser, monkeypatch
):
    async def put(key, value, expected_revision):
        raise errors.StoreUnknownError("store.put", "fake", "timeout")

    monkeypatch.setattr(config_writer, "READ_DELAY_S", 0.001)
    monkeypatch.setattr(browser.store, "put", put)
    browser.get("/draft/organisations/0")
    browser.post("/draft/organisations/0", **_organisation())
    text = browser.apply()
    assert browser.page.status_code == 502
    assert "/audit?q=" in text and "1 change not applied" in text


@pytest.mark.parametrize(
    "origin, fields",
    [
        ("http://evil.example", {}),
        (None, {}),
        ("null", {}),
        (URL, {"token": "0"}),
        (URL, {"token": ""}),
    ],
)
def test_a_forged_form_is_rejected(browser, origin, fields):
    browser.get("/draft/organisations/0")
    fields = _organisation(**fields)
    browser.post("/draft/organisations/0", origin=origin, **fields)
    assert browser.page.status_code == 403
    assert "0 changes not applied" in browser.get("/draft")


def test_dns_rebinding_is_rejected(browser):
    """A host name that resolves to the console passes the Origin check."""
    text = browser.get("/draft", headers={"host": "evil.example:8090"})
    assert browser.page.status_code == 403
    assert "hanbit" not in text
    assert browser.get("/draft", headers={"host": "localhost:8090"})
    assert browser.page.status_code == 200


def test_a_draft_belongs_to_its_session(browser):
    browser.get("/draft/organisations/0")
    browser.post("/draft/organisations/0", **_organisation())
    cookies = dict(browser.client.cookies)
    browser.client.cookies.clear()
    assert "0 changes not applied" in browser.get("/draft")
    name, value = cookies.popitem()
    browser.client.cookies.clear()
    browser.client.cookies.set(name, value[:-3] + "aaa")
    assert "0 changes not applied" in browser.get("/draft")


def test_a_store_outage_is_reported_without_a_traceback(browser):
    browser.store.down = True
    assert "store.get: fake: the store is down" in browser.get("/draft")
    assert browser.page.status_code == 503
    assert "the store can not be read" in browser.get("/status")


def test_values_are_escaped(browser):
    browser.get("/draft/regions/new")
    browser.post(
        "/draft/regions/new", name="<b>x</b>", failure_domains="a\r\nb"
    )
    browser.get("/draft/regions")
    assert "<b>x" not in browser.page.text
    assert "&lt;b&gt;x" in browser.page.text


@hypothesis.settings(
    derandomize=True,
    max_examples=60,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(
    strategies.sampled_from(sorted(sections.BY_NAME)),
    strategies.dictionaries(
        strategies.sampled_from(
            sorted(
                {
                    spec.name
                    for part in sections.BY_NAME.values()
                    for spec in part.fields
                }
            )
        ),
        strategies.text(max_size=8)
        | strategies.sampled_from(("1e400", "nan", "9" * 400, "0001-01-01")),
    ),
)
def test_any_form_is_answered_and_leaves_what_is_in_force(
    browser, name, fields
):
    browser.get(f"/draft/{name}/new")
    browser.post(f"/draft/{name}/new", **fields)
    assert browser.page.status_code in (200, 422)
    draft = browser.client.get("/draft.json").content
    assert codec.decode(draft).is_ok()
    assert browser.in_force().version == 1
