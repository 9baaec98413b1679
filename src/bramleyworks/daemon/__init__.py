"""The daemon of each entry VM: tasks, HTTP front and life cycle."""
