// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "pathcleat/core/hybrid_clock.hpp"
#include "pathcleat/core/time.hpp"
#include "pathcleat/rollouts/rollout.hpp"

namespace pathcleat {

/// @brief A decision that is due, and why.
/// @ingroup rollouts
struct ProposedStep {
  RolloutStep step;
  std::string reason;
};

/// @brief The fleet as it matters to rollouts.
/// @ingroup rollouts
struct RolloutContext {
  int host_count = 1;  ///< that may be sending, this one included
  HybridTime time;
};

/// @brief All rollouts at this host: what was ordered, what is decided, and
/// what hosts have seen. Any host may decide; the operators' command log keeps
/// the first of two decisions that contradict each other. Not thread-safe.
/// @ingroup rollouts
class RolloutControl final : public TallyPublisher {
 public:
  /// @param domain own failure domain.
  /// @param incarnation another one at each start of a host.
  RolloutControl(std::string domain, std::uint64_t incarnation)
      : domain_(std::move(domain)), incarnation_(incarnation) {}

  /// @brief All orders that stand.
  void SetOrders(const std::vector<RolloutOrder>& orders);

  /// @brief All decisions in force.
  void SetStates(const RolloutStates& states);

  /// @brief Whether a service is moved, or was moved lately.
  Rollout* Find(const std::string& service);
  std::map<std::string, Rollout>& All() { return rollouts_; }
  const std::map<std::string, Rollout>& All() const { return rollouts_; }
  const std::vector<RolloutOrder>& orders() const { return orders_; }

  RolloutTallies OwnTallies() const override;
  RolloutTallies DomainTallies(Time now) const override;
  void OnHostTallies(std::uint64_t incarnation,
                     const RolloutTallies& tallies,
                     Time now) override;
  void OnDomainTallies(const std::string& domain,
                       const RolloutTallies& tallies,
                       Time now) override;

  /// @brief Judges what has come and says what is to be decided now. Call a
  /// few times a second.
  std::vector<ProposedStep> Evaluate(const RolloutContext& fleet, Time now);

 private:
  bool IsOrdered(const Rollout& rollout) const;

  std::string domain_;
  std::uint64_t incarnation_;
  std::vector<RolloutOrder> orders_;
  RolloutStates states_;
  std::map<std::string, Rollout> rollouts_;  ///< by service
};

}  // namespace pathcleat
