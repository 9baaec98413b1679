"""One field of a form."""

import dataclasses
from collections.abc import Callable
from typing import Literal

from bramleyworks.document import document

Options = Callable[[document.Document], tuple[str, ...]]


def no_options(doc: document.Document) -> tuple[str, ...]:
    """Returns no options."""
    return ()


@dataclasses.dataclass(frozen=True)
class FieldSpec:
    """How a field of an item is shown and read.

    Attributes:
        name: Field of the item.
        label: Text before the field.
        kind: Widget and type of the value; ``lines`` is one value a line,
            ``checks`` is a set of check boxes, ``time`` is a UTC time.
        hint: Unit and bounds.
        options: Values to choose from, or to suggest for ``text``.
        empty: What no value means, for tables.
    """

    name: str
    label: str
    kind: Literal[
        "text", "integer", "number", "choice", "lines", "checks", "time"
    ] = "text"
    hint: str = ""
    options: Options = no_options
    empty: str = ""
