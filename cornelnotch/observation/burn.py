"""Burn rates of the error budgets of service classes."""

from dataclasses import dataclass, field

from prometheus_client.parser import text_string_to_metric_families

from cornelnotch.observation.windows import list_windows

__all__ = ["BurnReport", "BurnRow", "HostSample", "compute_burn_report"]

WINDOW_METRIC = "cornelnotch_attainment_window"


@dataclass(frozen=True, slots=True)
class HostSample:
    """Metrics text of one host; `text` is None if the host did not respond."""

    address: str
    text: str | None


@dataclass(frozen=True, slots=True)
class BurnRow:
    """Attainment and burn rate of a class over one window.

    At a burn rate of 1 the error budget is used up exactly; `budget_left` is the
    unused share of the window's budget.
    """

    class_name: str
    minutes: int
    objective: float
    total: int
    attained: int
    attainment: float
    burn_rate: float
    budget_left: float


@dataclass(slots=True)
class BurnReport:
    """Rows of all classes, and the hosts that did not respond."""

    rows: list[BurnRow] = field(default_factory=list)
    silent: list[str] = field(default_factory=list)


def _sum_windows(texts: list[str]) -> dict[tuple[str, int], dict[str, int]]:
    sums: dict[tuple[str, int], dict[str, int]] = {}
    for text in texts:
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                if sample.name != WINDOW_METRIC:
                    continue
                key = (sample.labels["class"], int(sample.labels["minutes"]))
                counts = sums.setdefault(key, {"attained": 0, "total": 0})
                counts[sample.labels["result"]] += int(sample.value)
    return sums


def _create_row(
    class_name: str, minutes: int, objective: float, counts: dict[str, int]
) -> BurnRow:
    total = counts["total"]
    attained = counts["attained"]
    attainment = attained / total if total else 1.0
    burn_rate = (1.0 - attainment) / (1.0 - objective)
    return BurnRow(
        class_name,
        minutes,
        objective,
        total,
        attained,
        attainment,
        burn_rate,
        1.0 - burn_rate,
    )


def compute_burn_report(
    samples: list[HostSample], objectives: dict[str, float]
) -> BurnReport:
    """Return the report; hosts that did not respond are listed, not counted."""
    texts = [s.text for s in samples if s.text is not None]
    report = BurnReport(silent=[s.address for s in samples if s.text is None])
    sums = _sum_windows(texts)
    for class_name, objective in sorted(objectives.items()):
        for minutes in list_windows():
            counts = sums.get((class_name, minutes), {"attained": 0, "total": 0})
            report.rows.append(_create_row(class_name, minutes, objective, counts))
    return report
