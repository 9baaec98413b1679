"""Processor time and memory of a call."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

REPEATS = 5
MIN_S = 0.02


def cpu_us(call: Callable[[], Any]) -> float:
    """Returns the processor time of a call in microseconds.

    The smallest of several means counts, because other load on the machine
    only adds time.
    """
    number = 1
    while True:
        taken_s = _taken_s(call, number)
        if taken_s >= MIN_S:
            break
        number *= 2 if taken_s > MIN_S / 10 else 8
    best_s = min(taken_s, *(_taken_s(call, number) for _ in range(REPEATS - 1)))
    return best_s / number * 1e6


def cpu_once_us(call: Callable[[], Any]) -> float:
    """Returns the processor time of one long call in microseconds."""
    return _taken_s(call, 1) * 1e6


def _taken_s(call: Callable[[], Any], number: int) -> float:
    started_s = time.process_time()
    for _ in range(number):
        call()
    return time.process_time() - started_s


def kept_bytes(make: Callable[[], Any]) -> float:
    """Returns the memory that the result of a call holds, in bytes."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept = make()
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    del kept
    return float(after - before)
