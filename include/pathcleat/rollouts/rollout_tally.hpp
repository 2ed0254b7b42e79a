// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "pathcleat/core/time.hpp"
#include "pathcleat/rollouts/response_counts.hpp"

namespace pathcleat {

/// @brief Counts for one rollout, of a host or of all hosts of a failure
/// domain. Routes and upstreams are counted in a fixed number of groups, by
/// hash, so that the size does not depend on their number.
/// @ingroup rollouts
struct RolloutTally {
  /// Strata of failures: a group of routes, within the region or out of it.
  static constexpr std::size_t kRouteGroups = 32;
  static constexpr std::size_t kFailureStrata = kRouteGroups * 2;
  /// Strata of latency: a smaller group of routes, within the region or out of
  /// it, with a warm key or not, at a full upstream or not.
  static constexpr std::size_t kLatencyRouteGroups = 8;
  static constexpr std::size_t kLatencyStrata = kLatencyRouteGroups * 8;
  static constexpr std::size_t kUpstreamGroups = 32;

  /// @brief Whether a latency stratum holds responses with a warm key.
  static bool IsWarm(std::size_t latency_stratum) {
    return (latency_stratum & 1U) != 0;
  }

  std::uint64_t order_id = 0;
  std::array<StratumCounts, kFailureStrata> failures;
  std::array<StratumCounts, kLatencyStrata> latencies;  ///< events: long ones
  /// Responses of the new version by group of upstreams; events are failures
  /// and long latencies.
  std::array<ResponseCounts, kUpstreamGroups> new_version_upstreams;
  std::uint32_t other_versions_in_flight =
      0;  ///< requests in flight at other versions
  std::uint32_t promoted_host_count =
      0;  ///< hosts that send to the new version only

  /// @brief All responses; events are failures.
  StratumCounts Total() const;
  void AddCounts(const RolloutTally& other);
  void MergeMaxCounts(const RolloutTally& other);

  template <class Archive>
  void save(Archive& archive) const {  // NOLINT: named by cereal
    archive(order_id, EncodeCounts(), other_versions_in_flight,
            promoted_host_count);
  }
  template <class Archive>
  void load(Archive& archive) {  // NOLINT: named by cereal
    std::string counts;
    archive(order_id, counts, other_versions_in_flight, promoted_host_count);
    DecodeCounts(counts);
  }

 private:
  // Variable-length integers, without the strata that have no responses.
  std::string EncodeCounts() const;
  // Counts that cannot be decoded are zero.
  void DecodeCounts(const std::string& bytes);
};

/// @brief Tallies by service.
/// @ingroup rollouts
using RolloutTallies = std::map<std::string, RolloutTally>;

/// @brief Source and receiver of the rollout tallies that hosts exchange.
/// @ingroup rollouts
class TallyPublisher {
 public:
  virtual ~TallyPublisher() = default;

  /// @brief The report of this host to the other hosts of its failure domain.
  virtual RolloutTallies OwnTallies() const = 0;

  /// @brief The report on the own failure domain to other domains.
  virtual RolloutTallies DomainTallies(Time now) const = 0;

  /// @brief Handles a report from a host of the own failure domain.
  virtual void OnHostTallies(std::uint64_t incarnation,
                             const RolloutTallies& tallies,
                             Time now) = 0;

  /// @brief Handles a report on a whole failure domain.
  virtual void OnDomainTallies(const std::string& domain,
                               const RolloutTallies& tallies,
                               Time now) = 0;
};

}  // namespace pathcleat
