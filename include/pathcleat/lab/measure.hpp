// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>
#include <vector>

#include "pathcleat/lab/steer_model.hpp"

namespace pathcleat {

/// @brief Median and spread of one figure over several seeds.
/// @ingroup lab
struct Spread {
  double median = 0;
  double low = 0;
  double high = 0;
};

/// @brief One way of doing things at one load.
/// @ingroup lab
struct MeasuredRow {
  std::string way;
  double load = 0;
  Spread p50_ms;
  Spread p99_ms;
  Spread p99_ratio;  ///< to the shared queue of the same seed and load
  Spread goodput;
  Spread submissions_in_time;
  Spread refusal_p99_ms;
  Spread attempts;
  Spread headroom_low;
  int over_slots = 0;  ///< sum over the seeds
};

/// @brief One comparison of several ways.
/// @ingroup lab
struct MeasuredTable {
  std::string title;
  std::vector<MeasuredRow> rows;
};

/// @brief Compares ways to choose where to send.
/// @param seeds number of seeds, from 1 up.
/// @ingroup lab
std::vector<MeasuredTable> MeasureRouting(int seeds);

/// @brief Compares orders of waiting, retries and ages of reports.
/// @ingroup lab
std::vector<MeasuredTable> MeasureOverload(int seeds);

/// @brief Tables as Markdown, or as JSON.
/// @ingroup lab
std::string ToText(const std::vector<MeasuredTable>& tables);
std::string ToJson(const std::vector<MeasuredTable>& tables);

}  // namespace pathcleat
