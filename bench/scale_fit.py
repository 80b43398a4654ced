"""Linear fits for the scale benchmarks: a line through the medians, and its spread over single trials."""

from __future__ import annotations

import statistics
from dataclasses import dataclass


@dataclass(frozen=True)
class Series:
    """A measured quantity by size; each size has one value per trial, in the same order."""

    name: str
    unit: str
    values: dict[int, list[float]]

    def median(self, size: int) -> float:
        return statistics.median(self.values[size])


@dataclass(frozen=True)
class Fit:
    """A line through the medians; `min_slope` and `max_slope` are the extremes over single trials."""

    slope: float
    intercept: float
    min_slope: float
    max_slope: float

    def at(self, size: float) -> float:
        return self.intercept + self.slope * size


def fit(series: Series) -> Fit:
    """Fit a line by least squares, over at least two sizes."""
    sizes = sorted(series.values)
    regression = statistics.linear_regression(sizes, [series.median(size) for size in sizes])
    trials = min(len(values) for values in series.values.values())
    slopes = [
        statistics.linear_regression(sizes, [series.values[size][trial] for size in sizes]).slope
        for trial in range(trials)
    ]
    return Fit(regression.slope, regression.intercept, min(slopes), max(slopes))


def report(series: Series, target: int) -> None:
    """Print the sizes, the slope with its spread, and the value at the target size."""
    sizes = sorted(series.values)
    measured = "  ".join(f"{size}: {series.median(size):.4g}" for size in sizes)
    print(f"{series.name} ({series.unit})")
    print(f"  measured   {measured}")
    if len(sizes) > 1:
        fitted = fit(series)
        spread = f"{fitted.min_slope:.4g} to {fitted.max_slope:.4g}"
        print(f"  slope      {fitted.slope:.4g} ({spread} by trial), intercept {fitted.intercept:.4g}")
        print(f"  at {target:>7} {fitted.at(target):.4g}")
