// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Counts of the answers of one version's upstreams.
/// @ingroup rollouts
struct AnswerCounts {
  std::uint64_t good = 0;
  /// Failures, and answers that took more than twice the expected latency of a
  /// cold run.
  std::uint64_t bad = 0;

  std::uint64_t total() const { return good + bad; }
  void Add(const AnswerCounts& other);
  /// @brief Sets each count to the maximum of the two values, as counts never
  /// decrease.
  void MergeMax(const AnswerCounts& other);

  template <class Archive>
  void serialize(Archive& archive) {
    archive(good, bad);
  }
};

/// @brief Counts for one rollout, of a host or of all hosts of a failure
/// domain.
/// @ingroup rollouts
struct RolloutTally {
  std::uint64_t order_id = 0;
  AnswerCounts other_versions;  ///< of all versions but the new one
  AnswerCounts new_version;     ///< of the new version
  std::map<std::uint64_t, AnswerCounts>
      new_version_by_route;  ///< by hash of the route's name
  std::uint32_t other_versions_in_flight =
      0;  ///< requests in flight at other versions
  std::uint32_t promoted_host_count =
      0;  ///< hosts that send to the new version only

  template <class Archive>
  void serialize(Archive& archive) {
    archive(order_id, other_versions, new_version, new_version_by_route,
            other_versions_in_flight, promoted_host_count);
  }
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
