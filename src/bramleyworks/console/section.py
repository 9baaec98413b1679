"""A list of the document that the console edits."""

import dataclasses
from typing import Any

from bramleyworks.console import field_spec


@dataclasses.dataclass(frozen=True)
class Section:
    """A list of the document and how the console shows it.

    Attributes:
        name: Field of the document.
        title: Heading.
        one: Name of a single item.
        intro: Text above the list, for operators who edit it.
        kind: Type of the items.
        fields: Fields of the form.
    """

    name: str
    title: str
    one: str
    intro: str
    kind: Any
    fields: tuple[field_spec.FieldSpec, ...]
