"""Plays seeds of the fault soak: ``tools/run_soak.py --first 1 --count 50``."""

import asyncio
import collections
import pathlib
import sys
import tempfile

import click

sys.path[:0] = [str(pathlib.Path(__file__).parents[1] / "tests")]

from soak import run  # noqa: E402


async def _one(seed, folder, length_s, limit):
    async with limit:
        logs = folder / str(seed)
        logs.mkdir(parents=True)
        faults, rec, broken = await run.soak(seed, logs, length_s)
    statuses = collections.Counter(sent.status for sent in rec.sent)
    print(f"seed {seed}: {len(rec.sent)} requests {dict(statuses)}", flush=True)
    for line in broken[:20]:
        print(f"  BROKEN {line}", flush=True)
    if broken:
        for fault in faults:
            print(f"  {fault}")
    return not broken


async def _all(first, count, jobs, length_s, folder):
    limit = asyncio.Semaphore(jobs)
    return await asyncio.gather(
        *(
            _one(seed, folder, length_s, limit)
            for seed in range(first, first + count)
        )
    )


@click.command()
@click.option("--first", default=1, help="First seed.")
@click.option("--count", default=50, help="Number of seeds.")
@click.option("--jobs", default=2, help="Runs side by side.")
@click.option("--length-s", default=run.LENGTH_S, help="Seconds of faults.")
@click.option("--logs", type=click.Path(path_type=pathlib.Path), default=None)
def main(first, count, jobs, length_s, logs):
    """Plays seeds and prints the promises that were broken."""
    folder = logs or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    print(f"logs in {folder}")
    good = asyncio.run(_all(first, count, jobs, length_s, folder))
    print(f"{sum(good)} of {count} seeds kept all promises")
    sys.exit(0 if all(good) else 1)


if __name__ == "__main__":
    main()
