"""Compare scheduling policies on the scenario of a deployment.

Run with ``python -m benchmarks.experiment [SCENARIO] [SECONDS]``. Each policy is
published as the discipline and balancer of the pool; all runs use the same seed.
"""

import asyncio
import sys
from pathlib import Path

from benchmarks.policies import POLICIES, Policy
from cornelnotch.configuration import Change, encode_record
from cornelnotch.configuration.follower import CONFIGURATION_STREAM
from cornelnotch.kernel import create_clock, create_identifier, set_up_logging
from cornelnotch.load.embedded import create_in_process_fleet
from cornelnotch.load.generator import LoadGenerator
from cornelnotch.load.report import write_page
from cornelnotch.load.results import RunResult, check_guarantees, summarize_classes
from cornelnotch.load.scenario import Scenario, read_scenario
from cornelnotch.logservice import HttpLogService

PROPAGATION_DELAY_S = 1.0
RESULTS_FOLDER = Path("results")


def load_scenario(name: str, seconds: float) -> Scenario:
    """Return a bundled scenario with the given duration."""
    scenario = read_scenario(Path(name)).unwrap()
    general = scenario.general.model_copy(update={"duration_s": seconds})
    return scenario.model_copy(update={"general": general})


async def run_policy(policy: Policy, name: str, scenario: Scenario) -> RunResult:
    """Run a policy on a new fleet."""
    clock = create_clock()
    fleet = create_in_process_fleet(name, clock)
    try:
        addresses = await fleet.start()
        pool = fleet.deployment.engine_pool
        text = (
            f"[pool {pool}]\nprotocol = engine\nexpected_ms = 800\n"
            f"discipline = {policy.discipline}\nbalancer = {policy.balancer}\n"
        )
        change = Change(create_identifier(), 0, text, "experiment")
        log = HttpLogService(addresses.platform)
        await log.append(CONFIGURATION_STREAM, encode_record(change))
        await asyncio.sleep(PROPAGATION_DELAY_S)
        result = await LoadGenerator(scenario, addresses, clock).run(lambda line: None)
        result.name = policy.name
        return result
    finally:
        await fleet.stop()


def print_result(result: RunResult) -> None:
    """Print the results of one policy."""
    promises = check_guarantees(result)
    attained = "  ".join(
        f"{row.class_name} {row.attainment:.3f}" for row in summarize_classes(result)
    )
    print(
        f"{result.name:16} {attained}  goodput {promises.goodput_per_second:.0f}/s  "
        f"wasted {promises.wasted_share:.2%}  broken {promises.violations}",
        flush=True,
    )


def run_experiment(name: str, seconds: float) -> None:
    """Run all policies and write the report page."""
    set_up_logging(level="CRITICAL")
    scenario = load_scenario(name, seconds)
    results = []
    for policy in POLICIES:
        result = asyncio.run(run_policy(policy, name, scenario))
        print_result(result)
        results.append(result)
    RESULTS_FOLDER.mkdir(exist_ok=True)
    write_page(results, RESULTS_FOLDER / f"{name}.html")


if __name__ == "__main__":
    run_experiment(
        sys.argv[1] if len(sys.argv) > 1 else "heelmark",
        float(sys.argv[2]) if len(sys.argv) > 2 else 25.0,
    )
