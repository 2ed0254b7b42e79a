// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pathcleat/core/hybrid_clock.hpp"
#include "pathcleat/core/time.hpp"
#include "pathcleat/rollouts/rollout.hpp"

namespace pathcleat {

/// @brief A decision to be made now on a rollout, with its reason.
/// @ingroup rollouts
struct ProposedStep {
  RolloutStep step;
  std::string reason;
};

/// @brief State of the fleet that decisions on rollouts depend on.
/// @ingroup rollouts
struct RolloutContext {
  int host_count = 1;  ///< hosts that may send requests, this host included
  HybridTime time;
  std::vector<PeerDecisions> peers;  ///< all other hosts that are listed
};

/// @brief All rollouts at this host: the orders, the decisions, and the counts
/// reported by hosts. Any host may make a decision. Of two contradicting
/// decisions the operators' command log keeps the first. Not thread-safe.
/// @ingroup rollouts
class RolloutControl final : public TallyPublisher {
 public:
  /// @param domain failure domain of this host.
  /// @param incarnation differs at each start of a host.
  /// @param bounds of the deployment; if missing, all orders are refused.
  RolloutControl(std::string domain,
                 std::uint64_t incarnation,
                 const std::optional<RolloutBounds>& bounds)
      : domain_(std::move(domain)),
        incarnation_(incarnation),
        bounds_(bounds) {}

  /// @brief Sets all orders that are active.
  void SetOrders(const std::vector<RolloutOrder>& orders);

  /// @brief Sets all decisions made so far, by any host.
  void SetStates(const RolloutStates& states);

  /// @brief The decisions that were last set, by service.
  const RolloutStates& states() const { return states_; }

  /// @brief The newest rollout of a service, running or finished; null if there
  /// is none.
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

  /// @brief Call instead of Evaluate while this host has not read the decisions
  /// that were made before it started.
  void OnDecisionsUnknown(Time now);

  /// @brief Evaluates the answers since the last call and returns the decisions
  /// that are due. Call a few times a second.
  std::vector<ProposedStep> Evaluate(const RolloutContext& fleet, Time now);

 private:
  bool IsOrdered(const Rollout& rollout) const;
  Duration ElapsedSinceStart(const Rollout& rollout,
                             const RolloutContext& fleet,
                             Time now);
  bool IsOrderMissing(const Rollout& rollout, Time now);

  std::string domain_;
  std::uint64_t incarnation_;
  std::optional<RolloutBounds> bounds_;
  std::vector<RolloutOrder> orders_;
  RolloutStates states_;
  std::map<std::string, Rollout> rollouts_;  ///< by service
  /// By service: since when there is a decision on an order that this host has
  /// not received.
  std::map<std::string, Time> order_missing_since_;
  std::map<std::string, Time> order_seen_at_;  ///< orders without a decision
};

}  // namespace pathcleat
