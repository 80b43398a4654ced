"""Slopes of the scale bench: a line through the medians of each size, and how far single trials lie apart."""

from __future__ import annotations

import statistics
from dataclasses import dataclass


@dataclass(frozen=True)
class Series:
    """A measured quantity by size; each size has one value a trial, in the same order."""

    name: str
    unit: str
    values: dict[int, list[float]]

    def median(self, size: int) -> float:
        return statistics.median(self.values[size])


@dataclass(frozen=True)
class Fit:
    """A line through the medians; `slope_least` and `slope_most` are those of single trials."""

    slope: float
    intercept: float
    slope_least: float
    slope_most: float

    def at(self, size: float) -> float:
        return self.intercept + self.slope * size


def fit(series: Series) -> Fit:
    """Fit a line by least squares, over at least two sizes."""
    sizes = sorted(series.values)
    line = statistics.linear_regression(sizes, [series.median(size) for size in sizes])
    trials = min(len(each) for each in series.values.values())
    slopes = [
        statistics.linear_regression(sizes, [series.values[size][trial] for size in sizes]).slope
        for trial in range(trials)
    ]
    return Fit(line.slope, line.intercept, min(slopes), max(slopes))


def report(series: Series, target: int) -> None:
    """Print the sizes, the slope with its spread, and the value at the target size."""
    sizes = sorted(series.values)
    measured = "  ".join(f"{size}: {series.median(size):.4g}" for size in sizes)
    print(f"{series.name} ({series.unit})")
    print(f"  measured   {measured}")
    if len(sizes) > 1:
        found = fit(series)
        spread = f"{found.slope_least:.4g} to {found.slope_most:.4g}"
        print(f"  slope      {found.slope:.4g} ({spread} by trial), intercept {found.intercept:.4g}")
        print(f"  at {target:>7} {found.at(target):.4g}")
