// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>
#include <vector>

namespace pathcleat {

/// @brief One measured point: the median of several runs and their spread.
/// @ingroup lab
struct SlopePoint {
  double size = 0;
  double median = 0;
  double low = 0;
  double high = 0;
};

/// @brief A cost measured at several sizes, with its straight-line fit.
/// @ingroup lab
struct Slope {
  std::string name;       ///< what costs, and its unit
  std::string size_unit;  ///< what the size counts
  std::vector<SlopePoint> points;
  double per_unit = 0;    ///< slope of the least-squares line
  double fixed = 0;       ///< its value at size 0
  double worst_miss = 0;  ///< largest distance from the line, relative
};

/// @brief A point of several runs.
/// @ingroup lab
SlopePoint PointOf(double size, std::vector<double> runs);

/// @brief Adds the least-squares line through the points' medians.
/// @ingroup lab
Slope Fitted(Slope slope);

/// @brief Slopes as a Markdown table.
/// @ingroup lab
std::string ToText(const std::vector<Slope>& slopes);

/// @brief All slopes of docs/CAPACITY.md, by what they measure.
/// @ingroup lab
std::vector<Slope> BlockTableSlopes();
std::vector<Slope> RoutingSlopes();
std::vector<Slope> HeartbeatSlopes();
std::vector<Slope> AccountSlopes();

}  // namespace pathcleat
