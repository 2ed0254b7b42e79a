// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief How the hosts of the watch model wait for changes at the store.
/// @ingroup lab
enum class WatchStrategy {
  kLong,       ///< waits of 20 s
  kBounded,    ///< waits of 1.5 s
  kShortTurn,  ///< one host of each failure domain waits 1 s, the others 20 s
  kGrowing,    ///< 0.5 s after a change, twice as long after each answer
  kSpread,     ///< as WatchSchedule
};

/// @brief Stable lower-case name of a strategy.
/// @ingroup lab
const char* ToString(WatchStrategy strategy);

/// @brief A time in which the store takes calls and answers none, not even
/// later.
/// @ingroup lab
struct StoreSilence {
  Duration from{0};  ///< since the start of the run
  Duration until{0};
};

/// @brief Options of a run of the watch model: the hosts that watch one topic
/// of the store, and what they tell each other.
/// @ingroup lab
struct WatchModelPlan {
  WatchStrategy strategy = WatchStrategy::kSpread;
  int domains = 6;
  int watchers_in_domain = 2;
  Duration contact{3'000'000};
  std::vector<StoreSilence> silences;
  std::vector<Duration> changes;  ///< when the topic changes; rising
  double datagram_loss = 0.01;
  /// Domains from 0 up to this number hear no host of another domain.
  int cut_domains = 0;
  Duration duration{60'000'000};
  std::uint64_t seed = 1;
};

/// @brief Result of a run of the watch model.
/// @ingroup lab
struct WatchModelResult {
  std::uint64_t calls = 0;  ///< to the store
  std::uint64_t max_calls_per_second = 0;
  /// How long after each change it was in force, by change and then by host.
  /// Changes that a host never saw count until the end of the run.
  std::vector<std::vector<Duration>> apply_delays;
};

/// @brief Runs the model in virtual time.
/// @ingroup lab
WatchModelResult RunWatchModel(const WatchModelPlan& plan);

/// @brief Compares the strategies at several sizes of a fleet. Returns a
/// Markdown table; of each value the worst or the mean over the seeds 1 to
/// `seeds`.
/// @ingroup lab
std::string MeasureWatches(int seeds);

}  // namespace pathcleat
