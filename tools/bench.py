"""Runs every scenario with each policy and prints one table of results."""

import concurrent.futures
import json
import os
import subprocess
import sys

import click

from bramleyworks_lab import deployment
from bramleyworks_lab import scenario

EXPERIMENT_TIMEOUT_S = 240
COLUMNS = (
    ("p50_ms", "p50ms", "{:.0f}"),
    ("p99_ms", "p99ms", "{:.0f}"),
    ("p99.9_ms", "p999ms", "{:.0f}"),
    ("worst_p99_ms", "worst", "{:.0f}"),
    ("worst_ratio", "ratio", "{:.2f}"),
    ("worst_ok", "okmin", "{:.4f}"),
    ("wrongful_per_million", "wrong/M", "{:.0f}"),
    ("wrongful_rate_per_million", "rate/M", "{:.0f}"),
    ("heavy_part", "heavy", "{:.2f}"),
    ("failed", "failed", "{:d}"),
    ("free_part", "free", "{:.2f}"),
    ("over_slots", "ovslot", "{:d}"),
    ("over_region", "ovregn", "{:d}"),
    ("over_rate", "ovrate", "{:.1f}"),
    ("over_shift", "ovshift", "{:.0f}"),
    ("shifted", "shifted", "{:d}"),
    ("drain_s", "drain_s", "{:.1f}"),
    ("in_force_s", "force_s", "{:.2f}"),
    ("verdict", "verdict", "{}"),
    ("bad_share", "bad%", "{:.2%}"),
    ("after_cut", "after", "{:d}"),
)


def run_experiment(job: tuple[str, str, str, int], seconds: float) -> dict:
    """Runs one experiment in a separate process.

    Args:
        job: Names of the deployment, the scenario and the policy, and the seed.
        seconds: Virtual time to measure; 0 for the default of the scenario.

    Returns:
        The result of the experiment, or its parameters and the last line of
        its error output under ``error``.
    """
    deployment_name, scenario_name, policy, seed = job
    completed = subprocess.run(
        [
            sys.executable,
            "-m",
            "bramleyworks_lab.experiment",
            "--deployment",
            deployment_name,
            "--scenario",
            scenario_name,
            "--policy",
            policy,
            "--seed",
            str(seed),
            "--seconds",
            str(seconds),
        ],
        # Ties are broken by the iteration order of sets of names, so the hash
        # seed is fixed to make runs reproducible.
        env={**os.environ, "PYTHONPATH": "src", "PYTHONHASHSEED": "0"},
        capture_output=True,
        text=True,
        timeout=EXPERIMENT_TIMEOUT_S,
    )
    if completed.returncode:
        last_lines = completed.stderr.strip().splitlines()[-1:]
        return {
            "deployment": deployment_name,
            "scenario": scenario_name,
            "policy": policy,
            "seed": seed,
            "error": last_lines[0] if last_lines else "no output",
        }
    return json.loads(completed.stdout.splitlines()[-1])


def format_row(result: dict) -> str:
    """Formats the result of one experiment as a line of the table."""
    prefix = (
        f"{result['deployment']:8s}{result['scenario']:15s}"
        f"{result['policy']:6s}{result['seed']:3d}"
    )
    if "error" in result:
        return f"{prefix} error: {result['error']}"
    cells = []
    for key, title, number_format in COLUMNS:
        value = result.get(key)
        text = "-" if value is None else number_format.format(value)
        cells.append(text.rjust(max(len(title), 6) + 1))
    return prefix + "".join(cells)


@click.command()
@click.option("--seeds", default=1, help="Number of seeds per experiment.")
@click.option("--first-seed", default=1)
@click.option("--only", default="", help="Comma-separated scenarios.")
@click.option("--deployments", default=",".join(deployment.ALL))
@click.option("--policies", default="ours,naive,open")
@click.option(
    "--seconds", default=0.0, help="0 for the default of each scenario."
)
@click.option("--workers", default=max(1, (os.cpu_count() or 2) - 2))
def main(
    seeds: int,
    first_seed: int,
    only: str,
    deployments: str,
    policies: str,
    seconds: float,
    workers: int,
) -> None:
    """Prints the table and exits with 1 if an experiment failed."""
    scenario_names = only.split(",") if only else list(scenario.ALL)
    jobs = [
        (deployment_name, scenario_name, policy, seed)
        for scenario_name in scenario_names
        for deployment_name in deployments.split(",")
        for policy in policies.split(",")
        for seed in range(first_seed, first_seed + seeds)
    ]
    titles = "".join(
        title.rjust(max(len(title), 6) + 1) for _, title, _ in COLUMNS
    )
    click.echo(f"{'firm':8s}{'scenario':15s}{'policy':6s}  #{titles}")
    failed = False
    with concurrent.futures.ThreadPoolExecutor(workers) as pool:
        for result in pool.map(lambda job: run_experiment(job, seconds), jobs):
            failed = failed or "error" in result
            click.echo(format_row(result))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
