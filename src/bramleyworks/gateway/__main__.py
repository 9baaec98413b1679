"""Entry point of an entry VM."""

import signal


def main() -> None:
    """Runs the command line.

    SIGHUP would end the process until its handler is set. It waits from here
    on, before the imports, which take most of the start.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from bramleyworks.gateway import command

    command.main()


if __name__ == "__main__":
    main()
