"""The drafts of all sessions of one console process."""

import collections

from bramleyworks.console import draft

# A draft can take 1 MB of memory, and more concurrent sessions are not
# expected.
DRAFTS_MAX = 50


class Drafts:
    """Holds one draft per session and evicts the least recently used."""

    def __init__(self):
        self._drafts: collections.OrderedDict[str, draft.Draft] = (
            collections.OrderedDict()
        )

    def get(self, session: str) -> draft.Draft | None:
        """Returns the draft of a session, None if it has none."""
        if session in self._drafts:
            self._drafts.move_to_end(session)
        return self._drafts.get(session)

    def put(self, session: str, value: draft.Draft) -> None:
        """Sets the draft of a session."""
        self._drafts[session] = value
        self._drafts.move_to_end(session)
        while len(self._drafts) > DRAFTS_MAX:
            self._drafts.popitem(last=False)

    def remove(self, session: str) -> None:
        """Removes the draft of a session, if it has one."""
        self._drafts.pop(session, None)
