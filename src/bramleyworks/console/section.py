"""One list of the document as a part of the console."""

import dataclasses
from typing import Any

from bramleyworks.console import field_spec


@dataclasses.dataclass(frozen=True)
class Section:
    """A list of the document.

    Attributes:
        name: Field of the document.
        title: Heading.
        one: What one item is called.
        intro: What an operator should know before editing it.
        kind: Type of the items.
        fields: Fields of the form.
    """

    name: str
    title: str
    one: str
    intro: str
    kind: Any
    fields: tuple[field_spec.FieldSpec, ...]
