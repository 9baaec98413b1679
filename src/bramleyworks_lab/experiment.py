"""Runs one scenario of one deployment with one policy and one seed.

Run with ``python -m bramleyworks_lab.experiment``; prints one line of JSON.
"""

import asyncio
import dataclasses
import json
import random

import click
import msgspec
from absl import logging

from bramleyworks.adapters import listed_vm
from bramleyworks.daemon import identity
from bramleyworks.document import codec
from bramleyworks.document import document
from bramleyworks.document import drain
from bramleyworks.document import move
from bramleyworks.document import stored_config
from bramleyworks.policy import entry_selection
from bramleyworks.policy import site
from bramleyworks_lab import callers
from bramleyworks_lab import deployment
from bramleyworks_lab import experiment_metrics
from bramleyworks_lab import model_network
from bramleyworks_lab import model_store
from bramleyworks_lab import model_upstream
from bramleyworks_lab import model_vm
from bramleyworks_lab import model_world
from bramleyworks_lab import naive_vm
from bramleyworks_lab import observer
from bramleyworks_lab import open_vm
from bramleyworks_lab import scenario
from bramleyworks_lab import virtual_loop

# Time for ledger shares, slot owners and probes to settle before requests are
# measured. A new owner without load uses one slot of each upstream for 31 s,
# because an unchanged load report does not show that the report is fresh.
SETTLE_S = 45.0
FAULT_START_FRACTION = 0.2
MOVE_END_MARGIN_S = 2.0
SAMPLE_S = 0.25
VM_LIST_DELAY_S = 5.0
STORE_OUTAGE_S = 600.0
POLICIES = {
    "ours": model_vm.ModelVm,
    "naive": naive_vm.NaiveVm,
    "open": open_vm.OpenVm,
}


class Experiment:
    """Builds the model of one experiment and runs it once."""

    def __init__(
        self,
        item: deployment.Deployment,
        plan: scenario.Scenario,
        policy: str,
        seed: int,
    ):
        self._deployment = item
        self._scenario = plan
        self._rng = random.Random(f"{item.name}/{plan.name}/{seed}")
        self._policy = POLICIES[policy]
        self._loop = asyncio.get_running_loop()
        self._doc = self._make_document()
        self._world = self._make_world()
        self._vms: dict[str, object] = {}
        self._vm_tasks: dict[str, list[asyncio.Task]] = {}
        self._metrics = experiment_metrics.ExperimentMetrics(
            self._world, plan, self._start_s
        )

    @property
    def _start_s(self) -> float:
        return self._created_s + SETTLE_S

    def _make_document(self) -> document.Document:
        self._created_s = self._loop.time()
        has_move = self._scenario.version != "none"
        doc = deployment.make_document(self._deployment, has_move)
        if not has_move:
            return doc
        service = self._deployment.services[0].name
        planned = move.Move(
            "move-1",
            service,
            deployment.VERSION,
            deployment.NEXT_VERSION,
            self._start_s,
            self._start_s + self._scenario.seconds - MOVE_END_MARGIN_S,
        )
        return msgspec.structs.replace(doc, moves=(planned,))

    def _make_world(self) -> model_world.ModelWorld:
        clock = self._loop.time
        means = {s.name: s.mean_s for s in self._deployment.services}
        return model_world.ModelWorld(
            deployment=self._deployment,
            clock=clock,
            network=model_network.ModelNetwork(self._deployment.latency_s),
            store=model_store.ModelStore(clock),
            upstreams={
                spec.name: model_upstream.ModelUpstream(
                    spec,
                    means[spec.service],
                    self._scenario,
                    spec.version == deployment.NEXT_VERSION,
                    self._start_s,
                    random.Random(f"{self._rng.random()}"),
                )
                for spec in self._doc.upstreams
            },
            events=observer.Observer(
                self._doc,
                frozenset(
                    (experiment_metrics.HEAVY_ORGANISATION,)
                    if self._scenario.heavy > 1
                    else ()
                ),
            ),
            vm_list=[],
            partitioned_regions=set(),
            frozen_health=set(),
        )

    def _write_config(self, version: int, doc: document.Document) -> None:
        stored = stored_config.StoredConfig(
            version, f"apply-{version}", "lab", self._loop.time(), doc
        )
        data = self._world.store.data
        data.put(
            stored_config.CONFIG_KEY,
            codec.encode_stored(stored),
            data.revision_of(stored_config.CONFIG_KEY),
        )

    def _start_vms(self) -> None:
        for number in range(self._deployment.vms):
            region = self._deployment.regions[
                number % len(self._deployment.regions)
            ]
            domain = deployment.failure_domain_of(number)
            name = f"vm{number}"
            me = identity.Identity(name, "1", region, domain, name, name)
            self._world.vm_list.append(
                listed_vm.ListedVm(name, region, domain, name, name)
            )
            vm = self._policy(
                self._world, me, random.Random(f"{self._rng.random()}")
            )
            self._vms[name] = vm
            self._vm_tasks[name] = vm.start()

    async def run(self) -> dict:
        """Runs the experiment and returns its metrics by name."""
        self._write_config(1, self._doc)
        self._start_vms()
        await asyncio.sleep(SETTLE_S)
        load = callers.Callers(
            self._world, self._scenario, self._look_up, self._rng
        )
        load.vms = self._vms
        sampler = asyncio.ensure_future(self._sample())
        fault_task = asyncio.ensure_future(self._inject_fault())
        await load.run(self._scenario.seconds)
        for task in (sampler, fault_task):
            task.cancel()
        for tasks in self._vm_tasks.values():
            for task in tasks:
                task.cancel()
        return self._metrics.results(self._vms)

    def _look_up(self, client: str, region: str) -> str | None:
        """Returns the VM that a look-up names, None if there is none.

        The look-up goes to a random running VM, in the caller's region if
        there is one.
        """
        running = [
            vm
            for name, vm in self._vms.items()
            if name not in self._world.network.dead
        ]
        local = [vm for vm in running if vm.me.region == region]
        lookup_vm = self._rng.choice(local or running)
        choices = entry_selection.choose(
            lookup_vm.candidates(), client, site.Site(region, "d1")
        )
        return choices[0].vm_id if choices else None

    async def _sample(self) -> None:
        while True:
            self._metrics.sample()
            await asyncio.sleep(SAMPLE_S)

    async def _inject_fault(self) -> None:
        await asyncio.sleep(self._scenario.seconds * FAULT_START_FRACTION)
        world = self._world
        first, second = self._deployment.regions[0], self._deployment.regions[1]
        fault = self._scenario.fault
        if fault == "drain":
            doc = msgspec.structs.replace(
                self._doc,
                drains=(drain.Drain("failure_domain", f"{first}/d1"),),
            )
            self._write_config(2, doc)
            self._metrics.record_drain(f"{first}/d1")
            await self._metrics.measure_propagation(self._vms, 2)
        elif fault == "region_loss":
            for upstream in world.upstreams.values():
                upstream.down = upstream.down or upstream.spec.region == second
            await self._stop_vms(
                [n for n, v in self._vms.items() if v.me.region == second]
            )
        elif fault == "vm_loss":
            await self._stop_vms(["vm0"])
        elif fault == "region_cut":
            world.partitioned_regions.add(second)
            world.network.partitioned_regions.add(second)
            world.store.partitioned_regions.add(second)
        elif fault == "store_down":
            world.store.down = True
            await asyncio.sleep(STORE_OUTAGE_S)
            world.store.down = False
        elif fault == "frozen":
            world.frozen_health.add("all")

    async def _stop_vms(self, names: list[str]) -> None:
        for name in names:
            self._world.network.dead.add(name)
            for task in self._vm_tasks[name]:
                task.cancel()
        await asyncio.sleep(VM_LIST_DELAY_S)
        self._world.vm_list[:] = [
            item for item in self._world.vm_list if item.id not in names
        ]


async def _run(name: str, plan: str, policy: str, seed: int, seconds: float):
    selected = scenario.ALL[plan]
    if seconds:
        selected = dataclasses.replace(selected, seconds=seconds)
    item = deployment.ALL[name]
    return await Experiment(item, selected, policy, seed).run()


def run_experiment(
    name: str, plan: str, policy: str, seed: int, seconds: float = 0.0
) -> dict:
    """Runs one experiment on virtual time.

    Args:
        name: Name of the deployment.
        plan: Name of the scenario.
        policy: One of ``POLICIES``.
        seed: Seed of all random choices.
        seconds: Measured virtual time in seconds, 0 for the scenario's
            default.

    Returns:
        The metrics by name.
    """
    logging.set_verbosity(logging.FATAL)
    return virtual_loop.run(_run(name, plan, policy, seed, seconds))


@click.command()
@click.option("--deployment", "name", default="haneul")
@click.option("--scenario", "plan", default="steady70")
@click.option("--policy", type=click.Choice(list(POLICIES)), default="ours")
@click.option("--seed", default=1)
@click.option(
    "--seconds",
    default=0.0,
    help="Measured virtual time; 0 for the scenario's default.",
)
def main(name: str, plan: str, policy: str, seed: int, seconds: float) -> None:
    """Prints the metrics of one experiment as JSON."""
    results = run_experiment(name, plan, policy, seed, seconds)
    click.echo(
        json.dumps(
            {
                "deployment": name,
                "scenario": plan,
                "policy": policy,
                "seed": seed,
                **results,
            }
        )
    )


if __name__ == "__main__":
    main()
