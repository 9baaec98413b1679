"""Processor time and memory used by a call."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

REPEATS = 5
MIN_SAMPLE_S = 0.02


def cpu_us(call: Callable[[], Any]) -> float:
    """Returns the processor time of a call in microseconds.

    Calls are timed in batches of at least ``MIN_SAMPLE_S``. The result is the
    smallest mean of ``REPEATS`` batches, because other load on the machine
    only adds time.
    """
    calls = 1
    while True:
        cpu_s = _cpu_s(call, calls)
        if cpu_s >= MIN_SAMPLE_S:
            break
        calls *= 2 if cpu_s > MIN_SAMPLE_S / 10 else 8
    best_s = min(cpu_s, *(_cpu_s(call, calls) for _ in range(REPEATS - 1)))
    return best_s / calls * 1e6


def cpu_once_us(call: Callable[[], Any]) -> float:
    """Returns the processor time of one call, run once, in microseconds.

    For calls long enough that one run is accurate.
    """
    return _cpu_s(call, 1) * 1e6


def _cpu_s(call: Callable[[], Any], calls: int) -> float:
    started_s = time.process_time()
    for _ in range(calls):
        call()
    return time.process_time() - started_s


def retained_bytes(make: Callable[[], Any]) -> float:
    """Returns the memory retained by the result of a call, in bytes.

    Counts only allocations that ``tracemalloc`` traces.
    """
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        retained = make()
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    del retained
    return float(after - before)
