"""Child process with a log file."""

import ctypes
import os
import pathlib
import signal
import subprocess
import sys

SRC = pathlib.Path(__file__).parents[2] / "src"
STOP_TIMEOUT_S = 3.0
TAIL_BYTES = 2000
_PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None)


def _kill_with_parent():
    # A killed test run can not end its children, and a child stopped by SIGSTOP
    # would remain forever.
    _libc.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Child:
    """Runs ``python -m MODULE ARGS`` and signals only that process."""

    def __init__(self, name, module, args, log_path, python_path=(), src=SRC):
        self.name = name
        self.log_path = log_path
        paths = [str(src), *map(str, python_path)]
        with open(log_path, "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", module, *map(str, args)],
                env={**os.environ, "PYTHONPATH": os.pathsep.join(paths)},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                preexec_fn=_kill_with_parent,
            )
        self.pid = self._process.pid

    def exit_code(self):
        """Returns the exit code, None while the process is running."""
        return self._process.poll()

    def signal(self, number):
        self._process.send_signal(number)

    def kill(self):
        """Sends SIGKILL, which also ends a stopped process, and waits."""
        self.signal(signal.SIGKILL)
        return self.wait()

    def pause(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def terminate(self):
        """Sends SIGTERM without waiting."""
        self.signal(signal.SIGTERM)

    def wait(self, timeout_s=STOP_TIMEOUT_S):
        """Waits until the process exits and returns the exit code.

        Raises:
            subprocess.TimeoutExpired: The process is still running.
        """
        return self._process.wait(timeout_s)

    def close(self):
        """Kills the process if it is still running."""
        if self.exit_code() is None:
            self.kill()

    def log(self):
        return self.log_path.read_text(errors="replace")

    def tail(self):
        return self.log()[-TAIL_BYTES:]
