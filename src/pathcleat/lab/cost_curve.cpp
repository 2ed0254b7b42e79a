// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/lab/cost_curve.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace pathcleat {

CostPoint MakeCostPoint(double size, std::vector<double> runs) {
  std::sort(runs.begin(), runs.end());
  return {size, runs[runs.size() / 2], runs.front(), runs.back()};
}

CostCurve FitLine(CostCurve curve) {
  double sum_x = 0;
  double sum_y = 0;
  for (const CostPoint& point : curve.points) {
    sum_x += point.size;
    sum_y += point.median;
  }
  const auto count = static_cast<double>(curve.points.size());
  const double mean_x = sum_x / count;
  const double mean_y = sum_y / count;
  double covariance = 0;
  double variance = 0;
  for (const CostPoint& point : curve.points) {
    covariance += (point.size - mean_x) * (point.median - mean_y);
    variance += (point.size - mean_x) * (point.size - mean_x);
  }
  curve.per_unit = variance == 0 ? 0 : covariance / variance;
  curve.fixed = mean_y - curve.per_unit * mean_x;
  for (const CostPoint& point : curve.points) {
    const double line = curve.fixed + curve.per_unit * point.size;
    const double relative_error =
        std::abs(point.median - line) / std::max(1e-12, std::abs(point.median));
    curve.max_relative_error =
        std::max(curve.max_relative_error, relative_error);
  }
  return curve;
}

std::string ToText(const std::vector<CostCurve>& curves) {
  constexpr int kDigits = 4;
  constexpr double kPercent = 100;
  std::ostringstream text;
  text.precision(kDigits);
  text << "| cost | size | median (low-high) at each size | per unit | fixed | "
          "max error of the line |\n|---|---|---|---|---|---|\n";
  for (const CostCurve& curve : curves) {
    text << "| " << curve.name << " | " << curve.size_unit << " | ";
    for (const CostPoint& point : curve.points) {
      text << point.size << ": " << point.median << " (" << point.low << "-"
           << point.high << "); ";
    }
    text << "| " << curve.per_unit << " | " << curve.fixed << " | "
         << std::round(curve.max_relative_error * kPercent) << "% |\n";
  }
  return text.str();
}

}  // namespace pathcleat
