// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/rollouts/conditional_likelihood.hpp"

#include <algorithm>
#include <cmath>

namespace pathcleat {

// The ratio is odds_ratio^x / E[odds_ratio^X] for x events at the new version,
// where X has the hypergeometric distribution of the margins. The weights of X
// are summed relative to the largest one.
double LogConditionalRatio(const StratumCounts& stratum, double odds_ratio) {
  const std::uint32_t new_total = stratum.new_version.total;
  const std::uint32_t other_total = stratum.other_versions.total;
  const std::uint32_t events =
      stratum.new_version.events + stratum.other_versions.events;
  if (new_total == 0 || other_total == 0 || events == 0) {
    return 0;
  }
  const std::uint32_t least = events - std::min(events, other_total);
  const std::uint32_t most = std::min(new_total, events);
  const double log_odds = std::log(odds_ratio);
  double log_weight = 0;
  double max_log = 0;
  double sum = 0;         // of the weights, relative to exp(max_log)
  double raised_sum = 0;  // of the weights times odds_ratio^(X - most)
  for (std::uint32_t x = least; x <= most; ++x) {
    if (x > least) {
      log_weight +=
          std::log(static_cast<double>(new_total - x + 1) * (events - x + 1) /
                   (static_cast<double>(x) * (other_total - events + x)));
    }
    if (log_weight > max_log) {
      const double scale = std::exp(max_log - log_weight);
      sum *= scale;
      raised_sum *= scale;
      max_log = log_weight;
    }
    const double weight = std::exp(log_weight - max_log);
    sum += weight;
    raised_sum += weight * std::exp(-log_odds * (most - x));
  }
  const double seen = static_cast<double>(stratum.new_version.events) - most;
  return seen * log_odds - std::log(raised_sum / sum);
}

}  // namespace pathcleat
