// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Answers of one version's upstreams.
/// @ingroup rollouts
struct AnswerCounts {
  std::uint64_t good = 0;
  std::uint64_t bad = 0;  ///< failures, and answers that took far too long

  std::uint64_t total() const { return good + bad; }
  void Add(const AnswerCounts& other);
  /// @brief The larger of each: counts only rise.
  void MergeMax(const AnswerCounts& other);

  template <class Archive>
  void serialize(Archive& archive) {
    archive(good, bad);
  }
};

/// @brief What a host, or all hosts of a failure domain, saw of a rollout.
/// @ingroup rollouts
struct RolloutTally {
  std::uint64_t order_id = 0;
  AnswerCounts other_versions;  ///< of all versions but the new one
  AnswerCounts new_version;     ///< of the new one
  std::map<std::uint64_t, AnswerCounts>
      new_version_by_route;  ///< by name's hash
  std::uint32_t other_versions_in_flight =
      0;  ///< requests under way at other versions
  std::uint32_t promoted_host_count =
      0;  ///< hosts that send to the new version alone

  template <class Archive>
  void serialize(Archive& archive) {
    archive(order_id, other_versions, new_version, new_version_by_route,
            other_versions_in_flight, promoted_host_count);
  }
};

/// @brief By service.
/// @ingroup rollouts
using RolloutTallies = std::map<std::string, RolloutTally>;

/// @brief Who takes part in what hosts tell each other of rollouts.
/// @ingroup rollouts
class TallyPublisher {
 public:
  virtual ~TallyPublisher() = default;

  /// @brief What this host tells the others of its failure domain.
  virtual RolloutTallies OwnTallies() const = 0;

  /// @brief What it tells other failure domains of its own one.
  virtual RolloutTallies DomainTallies(Time now) const = 0;

  /// @brief What a host of the own failure domain told.
  virtual void OnHostTallies(std::uint64_t incarnation,
                             const RolloutTallies& tallies,
                             Time now) = 0;

  /// @brief What another failure domain told.
  virtual void OnDomainTallies(const std::string& domain,
                               const RolloutTallies& tallies,
                               Time now) = 0;
};

}  // namespace pathcleat
