// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "pathcleat/core/histogram.hpp"
#include "pathcleat/core/time.hpp"
#include "pathcleat/telemetry/recent_count.hpp"

namespace pathcleat {

/// @brief How an attempt at an upstream ended.
/// @ingroup telemetry
enum class AttemptOutcome : std::uint8_t {
  kAnswered,   ///< a complete answer with a status below 500
  kFailed,     ///< a complete answer with a status of 500 or more
  kNotRun,     ///< not sent, or the upstream stated that it did not run it
  kUnknown,    ///< no complete answer
  kWithdrawn,  ///< ended by this host
};
inline constexpr std::array kAttemptOutcomes = {
    AttemptOutcome::kAnswered, AttemptOutcome::kFailed, AttemptOutcome::kNotRun,
    AttemptOutcome::kUnknown, AttemptOutcome::kWithdrawn};

/// @brief Name of the outcome, as printed in the metrics.
/// @ingroup telemetry
const char* ToString(AttemptOutcome outcome);

/// @brief Attempts of this host at upstreams of one version.
/// @ingroup telemetry
struct VersionCounts {
  std::uint64_t sent = 0;
  std::array<std::uint64_t, kAttemptOutcomes.size()> outcomes{};
  Histogram latency;  ///< of complete answers that ran
  RecentCount recent;

  std::uint64_t CountOf(AttemptOutcome outcome) const {
    return outcomes.at(static_cast<std::size_t>(outcome));
  }
};

/// @brief Attempts by service and version, for services that have or had an
/// order for a rollout. The numbers of services and versions are bounded; what
/// exceeds them is counted under kOther. Not thread-safe.
/// @ingroup telemetry
class VersionStats {
 public:
  static constexpr std::size_t kMaxServices = 32;
  static constexpr std::size_t kMaxVersions = 6;  ///< of one service
  static constexpr const char* kOther = "other";

  using Versions = std::map<std::string, VersionCounts>;

  void OnSent(const std::string& service, const std::string& version, Time now);
  void OnEnded(const std::string& service,
               const std::string& version,
               AttemptOutcome outcome,
               Duration latency);

  const std::map<std::string, Versions>& by_service() const {
    return by_service_;
  }

 private:
  VersionCounts& CountsOf(const std::string& service,
                          const std::string& version);

  std::map<std::string, Versions> by_service_;
};

}  // namespace pathcleat
