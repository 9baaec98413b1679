"""Sources of builds of the project from its history."""

import io
import pathlib
import subprocess
import tarfile

ROOT = pathlib.Path(__file__).parents[2]
# The last build whose messages say nothing about delayed removals.
WITHOUT_EXACT_COPIES = "840da12"


def extract_sources(commit, folder):
    """Extracts the sources of a commit and returns their directory."""
    packed = subprocess.run(
        ["git", "-C", ROOT, "archive", "--format=tar", commit, "src"],
        check=True,
        capture_output=True,
    ).stdout
    with tarfile.open(fileobj=io.BytesIO(packed)) as archive:
        archive.extractall(folder, filter="data")
    return folder / "src"
