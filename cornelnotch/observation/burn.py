"""Compute how fast classes burn their error budgets."""

from dataclasses import dataclass, field

from prometheus_client.parser import text_string_to_metric_families

from cornelnotch.observation.windows import list_windows

__all__ = ["BurnReport", "BurnRow", "HostSample", "compute_burn"]

WINDOW_METRIC = "cornelnotch_attainment_window"


@dataclass(frozen=True, slots=True)
class HostSample:
    """Hold one host's metrics text; None when it did not answer."""

    address: str
    text: str | None


@dataclass(frozen=True, slots=True)
class BurnRow:
    """Tell how a class did over one window.

    A burn rate of 1 spends exactly the error budget; `budget_left` is the share
    of the window's budget that is still unspent.
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
    """Hold the rows of all classes and the hosts that did not answer."""

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


def compute_burn(samples: list[HostSample], objectives: dict[str, float]) -> BurnReport:
    """Return the report; a silent host is named and never counted as good."""
    texts = [s.text for s in samples if s.text is not None]
    report = BurnReport(silent=[s.address for s in samples if s.text is None])
    sums = _sum_windows(texts)
    for class_name, objective in sorted(objectives.items()):
        for minutes in list_windows():
            counts = sums.get((class_name, minutes), {"attained": 0, "total": 0})
            report.rows.append(_create_row(class_name, minutes, objective, counts))
    return report
