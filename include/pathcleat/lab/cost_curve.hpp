// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>
#include <vector>

namespace pathcleat {

/// @brief One measured point: the median of several runs and their spread.
/// @ingroup lab
struct CostPoint {
  double size = 0;
  double median = 0;
  double low = 0;
  double high = 0;
};

/// @brief A cost measured at several sizes, with its straight-line fit.
/// @ingroup lab
struct CostCurve {
  std::string name;       ///< measured quantity and its unit
  std::string size_unit;  ///< things that the size counts
  std::vector<CostPoint> points;
  double per_unit = 0;            ///< slope of the least-squares line
  double fixed = 0;               ///< value of that line at size 0
  double max_relative_error = 0;  ///< largest distance of a median from the
                                  ///< line, relative to the median
};

/// @brief Median, minimum and maximum of several runs at one size.
/// @param runs must not be empty.
/// @ingroup lab
CostPoint MakeCostPoint(double size, std::vector<double> runs);

/// @brief Adds the least-squares line through the points' medians.
/// @ingroup lab
CostCurve FitLine(CostCurve curve);

/// @brief Formats curves as a Markdown table.
/// @ingroup lab
std::string ToText(const std::vector<CostCurve>& curves);

/// @brief Measures the costs of client block tables, of routing, of heartbeats
/// and of client accounts, each at several sizes.
/// @ingroup lab
std::vector<CostCurve> MeasureBlockTableCosts();
std::vector<CostCurve> MeasureRoutingCosts();
std::vector<CostCurve> MeasureHeartbeatCosts();
std::vector<CostCurve> MeasureAccountCosts();

}  // namespace pathcleat
