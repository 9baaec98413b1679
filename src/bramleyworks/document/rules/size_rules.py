"""Rules for the document as a whole."""

from bramleyworks.document import codec
from bramleyworks.document import problem
from bramleyworks.document import stored_config
from bramleyworks.document.rules import check_context
from bramleyworks.document.rules import field_rules

SCHEMA = 1
# The store holds values up to 1 MB. Fifty history entries of at most 900 bytes
# and the fields around the document take less than the margin.
STORE_VALUE_BYTES = 1_000_000
HISTORY_MARGIN_BYTES = 50_000
DOCUMENT_MAX_BYTES = STORE_VALUE_BYTES - HISTORY_MARGIN_BYTES


def check(context: check_context.CheckContext) -> field_rules.Problems:
    """Yields the problems of the schema number and the encoded size."""
    if context.doc.schema != SCHEMA:
        yield problem.Problem(
            "schema", f"must be {SCHEMA}, is {context.doc.schema}"
        )
    size = len(
        codec.encode_stored(
            stored_config.StoredConfig(0, "", "", 0.0, context.doc)
        )
    )
    if size > DOCUMENT_MAX_BYTES:
        yield problem.Problem(
            "document",
            f"must be at most {DOCUMENT_MAX_BYTES:,} bytes as stored"
            f" ({STORE_VALUE_BYTES:,} less {HISTORY_MARGIN_BYTES:,} for the"
            f" history), is {size:,}",
        )
