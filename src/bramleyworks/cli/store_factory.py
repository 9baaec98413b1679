"""The one place that creates the store adapter."""

import contextlib

from bramleyworks.adapters import store
from bramleyworks.adapters import store_http


def open_store(url: str) -> contextlib.AbstractAsyncContextManager[store.Store]:
    """Returns a context that opens the store at a URL and closes it."""
    return store_http.HttpStore(url)
