// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "pathcleat/core/event_log.hpp"
#include "pathcleat/core/lock_rank.hpp"
#include "pathcleat/host/config_service.hpp"
#include "pathcleat/host/member_service.hpp"
#include "pathcleat/host/owner_service.hpp"
#include "pathcleat/steer/pool_router.hpp"
#include "pathcleat/steer/retry_budget.hpp"
#include "pathcleat/steer/shift.hpp"
#include "pathcleat/steer/view_table.hpp"

namespace pathcleat {

/// @brief A failure domain chosen for one attempt.
/// @ingroup host
struct DomainRoute {
  DomainIndex domain;
  std::optional<SeatIndex> contact;  ///< none: this host's own domain
  std::string reason;
};

/// @brief A request as routing sees it over all its attempts.
/// @ingroup host
struct RouteRequest {
  ServiceIndex service;
  double caller_hash = 0;  ///< of the caller's block, in [0, 1)
  bool offered = false;    ///< counted by its shift already
  std::set<DomainIndex> tried;
  bool is_retry = false;
};

/// @brief Progress of a shift at this host, for operators.
/// @ingroup host
struct ShiftStatus {
  ShiftPlan plan;
  double fraction = 0;
  std::uint64_t offered = 0;
  std::uint64_t moved = 0;
  PaceStep step = PaceStep::kHeldOldData;
};

/// @brief Where requests go, shared by all workers of a host: the choice of a
/// failure domain and, inside this host's own, of the owner; shifts, drained
/// regions, link limits and the retry budget are kept here. Thread-safe.
/// @ingroup host
class RouteService {
 public:
  RouteService(const HostSettings& settings,
               ConfigService& config,
               MemberService& members,
               OwnerService& owner,
               EventLog& events);

  /// @brief Chooses a failure domain for the next attempt and counts it as
  /// sent; OnDomainDone must follow.
  std::variant<DomainRoute, Refusal> ChooseDomain(RouteRequest& request);
  void OnDomainDone(DomainIndex domain,
                    ServiceIndex service,
                    const ServiceLoad& load);

  /// @brief Chooses the owner in this host's own failure domain, which can be
  /// this host, and counts it as sent; OnOwnerDone must follow.
  std::optional<SeatIndex> ChooseOwner(ServiceIndex service,
                                       std::string& reason);
  void OnOwnerDone(SeatIndex owner,
                   ServiceIndex service,
                   const ServiceLoad& load);

  /// @brief Reports as they arrive from other hosts.
  void OnDomainReport(const DomainSummary& summary, Time observed);
  void OnOwnerReport(SeatIndex seat,
                     const std::vector<ServiceLoad>& loads,
                     Time observed);

  void OnFirstAttempt();
  bool TryRetry();

  /// @brief Sets shifts up as configured and paces them; about once a second.
  void Tick();

  std::vector<ShiftStatus> Shifts() const;

  /// @brief Loads by failure domain with their ages, for operators.
  std::vector<RouteCandidate> DomainCandidates(ServiceIndex service) const;

 private:
  using ShiftKey = std::pair<ServiceIndex, RegionIndex>;
  using Candidates = std::vector<RouteCandidate>;

  Candidates OwnerCandidates(ServiceIndex service) const;
  RouteCandidate OwnDomainCandidate(ServiceIndex service) const;
  Candidates UsableOf(const Candidates& all,
                      const RouteRequest& request,
                      const ConfigState& config) const;
  Candidates InRegion(const Candidates& candidates, RegionIndex region) const;
  RegionIndex RegionOf(const RouteCandidate& candidate) const;
  bool HasLinkRoom(RegionIndex to) const;
  RegionIndex NaturalRegion(ServiceIndex service,
                            const ConfigState& config) const;
  std::optional<RouteChoice> ChooseUnderShift(ShiftGate& gate,
                                              RouteRequest& request,
                                              const Candidates& usable);
  std::optional<RouteChoice> Choose(const Candidates& candidates);
  DomainRoute RouteTo(const RouteChoice& choice) const;
  TargetState StateOf(RegionIndex region, ServiceIndex service) const;
  void SyncShifts(const ConfigState& config, Time now);
  void PaceShift(ShiftGate& gate, Time now);

  const HostSettings& settings_;
  ConfigService& config_;
  MemberService& members_;
  OwnerService& owner_;
  EventLog& events_;
  std::map<RegionIndex, int> link_share_;
  mutable RankedMutex mutex_{LockRank::kRouter};
  ViewTable domain_views_;
  ViewTable owner_views_;
  std::map<RegionIndex, int> link_in_flight_;
  std::map<ShiftKey, ShiftGate> shifts_;
  RetryBudget retries_;
  std::mt19937_64 random_;
};

}  // namespace pathcleat
