"""The specification of a form field."""

import dataclasses
from collections.abc import Callable
from typing import Literal

from bramleyworks.document import document

Options = Callable[[document.Document], tuple[str, ...]]


def no_options(doc: document.Document) -> tuple[str, ...]:
    """Returns no options, for fields with free input."""
    return ()


@dataclasses.dataclass(frozen=True)
class FieldSpec:
    """How a field of an item is displayed and parsed.

    Attributes:
        name: Field of the item.
        label: Label of the form field.
        kind: Widget and type of the value; ``lines`` is one value per line,
            ``checks`` is a set of check boxes, ``time`` is a UTC time.
        hint: Text below the field, such as its unit and bounds.
        options: Returns the values to choose from, or to suggest for ``text``.
        empty: Text that tables show for an empty value.
    """

    name: str
    label: str
    kind: Literal[
        "text", "integer", "number", "choice", "lines", "checks", "time"
    ] = "text"
    hint: str = ""
    options: Options = no_options
    empty: str = ""
