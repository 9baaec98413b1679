"""Pure decisions: no sockets, tasks, clocks or random sources."""
