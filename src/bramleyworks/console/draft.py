"""A document that an operator is editing."""

import dataclasses
import hashlib
from typing import Any

import msgspec

from bramleyworks.document import codec
from bramleyworks.document import document
from bramleyworks.document import key


@dataclasses.dataclass(frozen=True)
class Draft:
    """A draft and the configuration version that it is based on.

    Attributes:
        base_version: Version that it is based on, 0 for none.
        base: Document of that version.
        doc: The edited document.
    """

    base_version: int
    base: document.Document
    doc: document.Document

    @property
    def digest(self) -> str:
        """SHA-256 of the document, to detect edits made after a review."""
        return hashlib.sha256(codec.encode(self.doc)).hexdigest()

    def with_item(self, section: str, index: int, item: Any) -> "Draft":
        """Returns the draft with an item replaced, or appended at the end."""
        items = list(getattr(self.doc, section))
        items[index : index + 1] = [item]
        return self._replace_section(section, items)

    def without_item(self, section: str, index: int) -> "Draft":
        """Returns the draft without an item."""
        items = list(getattr(self.doc, section))
        del items[index]
        return self._replace_section(section, items)

    def with_keys(self, index: int, keys: tuple[key.Key, ...]) -> "Draft":
        """Returns the draft with the keys of an organisation replaced."""
        item = self.doc.organisations[index]
        return self.with_item(
            "organisations", index, msgspec.structs.replace(item, keys=keys)
        )

    def _replace_section(self, section: str, items: list[Any]) -> "Draft":
        doc = msgspec.structs.replace(self.doc, **{section: tuple(items)})
        return dataclasses.replace(self, doc=doc)
