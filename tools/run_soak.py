"""Runs the fault soak: ``tools/run_soak.py --first 1 --count 50``."""

import asyncio
import collections
import pathlib
import sys
import tempfile

import click

sys.path[:0] = [str(pathlib.Path(__file__).parents[1] / "tests")]

from soak import run  # noqa: E402


async def _run_seed(seed, directory, length_s, semaphore):
    async with semaphore:
        log_directory = directory / str(seed)
        log_directory.mkdir(parents=True)
        faults, rec, violations = await run.soak(seed, log_directory, length_s)
    statuses = collections.Counter(sent.status for sent in rec.sent)
    print(
        f"seed {seed}: {len(rec.sent)} requests {dict(statuses)},"
        f" {len(rec.usage['reports'])} windows reported",
        flush=True,
    )
    for violation in violations[:20]:
        print(f"  BROKEN {violation}", flush=True)
    if violations:
        for fault in faults:
            print(f"  {fault}")
    return not violations


async def _run_seeds(first, count, jobs, length_s, directory):
    semaphore = asyncio.Semaphore(jobs)
    return await asyncio.gather(
        *(
            _run_seed(seed, directory, length_s, semaphore)
            for seed in range(first, first + count)
        )
    )


@click.command()
@click.option("--first", default=1, help="First seed.")
@click.option("--count", default=50, help="Number of seeds.")
@click.option("--jobs", default=2, help="Number of concurrent runs.")
@click.option(
    "--length-s", default=run.LENGTH_S, help="Seconds in which faults begin."
)
@click.option("--logs", type=click.Path(path_type=pathlib.Path), default=None)
def main(first, count, jobs, length_s, logs):
    """Runs the seeds and prints the invariants that were violated."""
    directory = logs or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    print(f"logs in {directory}")
    passed = asyncio.run(_run_seeds(first, count, jobs, length_s, directory))
    print(f"{sum(passed)} of {count} seeds kept all invariants")
    sys.exit(0 if all(passed) else 1)


if __name__ == "__main__":
    main()
