// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pathcleat/routing/admission_control.hpp"
#include "pathcleat/routing/key_placement.hpp"
#include "pathcleat/routing/link_limits.hpp"
#include "pathcleat/routing/pick.hpp"
#include "pathcleat/routing/pinned_capacity.hpp"
#include "pathcleat/routing/region_shares.hpp"
#include "pathcleat/routing/request_profile.hpp"
#include "pathcleat/routing/route.hpp"
#include "pathcleat/routing/shift_table.hpp"
#include "pathcleat/routing/upstream_table.hpp"

namespace pathcleat {

/// @brief Where a host stands, and what carrying an answer costs.
/// @ingroup routing
struct PickerSettings {
  std::string domain;
  std::string region;
  /// Cost of a gigabyte, in worths of one answer.
  double cross_domain_cost_per_gigabyte = 0;
  double cross_region_cost_per_gigabyte = 0;
  /// Most requests in flight from this region to others, by region.
  std::map<std::string, int> link_limits;
  PolicySwitches policy;
};

/// @brief What an answer tells of its run.
/// @ingroup routing
struct AnswerMeasurements {
  Duration took{0};       ///< from sending to the answer's last byte
  std::size_t bytes = 0;  ///< of its body
  bool queued = false;    ///< requests waited at the upstream
};

/// @brief Chooses the upstream of each request: the one whose answer is
/// worth most, after the cost of carrying it and of the slot that it takes.
/// All hosts rank the upstreams for a key alike, so that they send it to the
/// same one without talk. Not thread-safe.
/// @ingroup routing
class UpstreamPicker {
 public:
  UpstreamPicker(const PickerSettings& settings, UpstreamTable& table);

  Pick Choose(const PickRequest& request, Time now);

  /// @brief How long a request that is refused after it was tried should stay
  /// away: until there is room at the next choice.
  Duration RetryDelay(const PickRequest& request, const Pick& next, Time now);

  /// @brief What is known of a region's upstreams of a service.
  ShiftTargetState TargetStateOf(const std::string& service,
                                 const std::string& region,
                                 Time now) const;

  /// @brief Entry hosts alive, by region.
  void SetHostCounts(std::map<std::string, int> hosts) {
    hosts_ = std::move(hosts);
  }

  /// @brief Requests a second of client accounts that may run nowhere else, by
  /// region. Call a few times a second.
  void SetPinnedDemand(const std::map<std::string, double>& per_second) {
    bound_.SetDemand(per_second);
  }

  ShiftTable& shifts() { return shifts_; }
  LinkLimits& links() { return links_; }

  /// @brief The open upstreams of a service with what each would take, best
  /// first, for an operator to see.
  std::vector<Pick> Explain(const PickRequest& request, Time now);

  /// @brief A connection to the upstream took this long to open.
  void OnConnected(const UpstreamState& upstream, Duration round_trip);

  /// @brief An attempt was given up, or its time ended, without an answer.
  /// @param waited since it was sent.
  void OnNoAnswer(UpstreamState& upstream,
                  const Pick& pick,
                  Duration waited,
                  Time now);

  /// @brief A whole answer came.
  void OnAnswer(UpstreamState& upstream,
                const PickRequest& request,
                const Pick& pick,
                const AnswerMeasurements& facts,
                Time now);

 private:
  struct SharesEntry {
    RegionShares shares;
    std::optional<Time> updated;       ///< nothing: not reckoned yet
    std::uint64_t revision = 0;        ///< of the list, when slots were counted
    std::map<std::string, int> slots;  ///< of open upstreams, by region
    std::map<std::string, double> unusable;  ///< of them, for their limits
  };
  struct Scored {
    Pick pick;
    double worth = 0;
  };

  std::vector<Candidate> Candidates(const PickRequest& request,
                                    std::vector<UpstreamPtr>& passed_over,
                                    Time now) const;
  void KeepLargeNear(std::vector<Candidate>& candidates,
                     const PickRequest& request);
  PickFailure PassShift(std::vector<Candidate>& candidates,
                        const PickRequest& request);
  void KeepRegion(std::vector<Candidate>& candidates,
                  const std::string& region) const;
  RegionShares& SharesOf(const std::string& service, Time now);
  void CountSlots(SharesEntry& entry,
                  const std::string& service,
                  Time now) const;
  void EstimateWarmth(std::vector<Candidate>& candidates,
                      const PickRequest& request);
  Scored Score(const Candidate& candidate,
               const PickRequest& request,
               Time now);
  RequestProfile& ProfileOf(const Route& route);
  Pick Refused(PickFailure failure, const PickRequest& request, Time now);
  Duration RoundTrip(const UpstreamState& upstream) const;
  double CarryingCost(const UpstreamState& upstream, double bytes) const;

  PickerSettings settings_;
  UpstreamTable& table_;
  AdmissionControl admission_;
  ShiftTable shifts_;
  LinkLimits links_;
  PinnedCapacity bound_;
  std::map<std::string, int> hosts_;                  ///< alive, by region
  std::map<std::string, SharesEntry> shares_;         ///< by service
  std::map<std::string, RequestProfile> profiles_;    ///< by route name
  std::map<std::string, LatencyEstimate> latencies_;  ///< by failure domain
};

}  // namespace pathcleat
