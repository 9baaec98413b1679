"""Guards against an operators' page that no longer matches the document."""

import pathlib
import re

import msgspec

from bramleyworks.cli import exit_code
from bramleyworks.document import codec
from bramleyworks.document import document
from bramleyworks.document import validation

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "operating.md"


def test_the_example_is_valid():
    example = re.search(r"```json\n(.*?)```", PAGE.read_text(), re.S)[1]
    doc = codec.decode(example.encode()).unwrap()
    assert validation.check(doc, 0.0) == ()


def test_every_field_and_exit_code_is_on_the_page():
    text = PAGE.read_text()
    for part in msgspec.structs.fields(document.Document):
        assert f"`{part.name}`" in text
        if part.name == "schema":
            continue
        section = text.split(f"| `{part.name}` |", 1)[1]
        for field in msgspec.structs.fields(part.type.__args__[0]):
            assert f"`{field.name}`" in section, (part.name, field.name)
    for code in exit_code.ExitCode:
        assert f"| {code.value} |" in text
