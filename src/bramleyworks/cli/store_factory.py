"""The only module that creates the store adapter."""

import contextlib

from bramleyworks.adapters import store
from bramleyworks.adapters import store_http


def open_store(url: str) -> contextlib.AbstractAsyncContextManager[store.Store]:
    """Returns a context manager that opens and closes the store at a URL."""
    return store_http.HttpStore(url)
