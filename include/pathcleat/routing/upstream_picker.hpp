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

/// @brief Location of a host, and the costs and limits by which it chooses
/// upstreams.
/// @ingroup routing
struct PickerSettings {
  std::string domain;
  std::string region;
  /// Cost per gigabyte, in units of the value of one answer in time.
  double cross_domain_cost_per_gigabyte = 0;
  double cross_region_cost_per_gigabyte = 0;
  /// Maximum number of requests in flight from this region to each other
  /// region, by name of the other region.
  std::map<std::string, int> link_limits;
  PolicySwitches policy;
};

/// @brief Measurements of one answered request.
/// @ingroup routing
struct AnswerMeasurements {
  Duration took{0};  ///< from sending the request to the answer's last byte
  std::size_t bytes = 0;  ///< of the answer's body
  bool queued = false;    ///< whether requests waited at the upstream
};

/// @brief Chooses the upstream of each request: the one with the highest value
/// of its answer, less the costs of the transfer and of the slot. All hosts
/// rank the upstreams of a key in the same order, so they send the key to the
/// same upstream without coordination. Not thread-safe.
/// @ingroup routing
class UpstreamPicker {
 public:
  UpstreamPicker(const PickerSettings& settings, UpstreamTable& table);

  /// @brief Chooses an upstream, or the reason and retry delay of a refusal.
  Pick Choose(const PickRequest& request, Time now);

  /// @brief Delay after which the caller of a refused request should retry. By
  /// then the upstream of `next` is expected to have capacity or, if `next` has
  /// no upstream, any upstream is.
  Duration RetryDelay(const PickRequest& request, const Pick& next, Time now);

  /// @brief Headroom and latency of a service's upstreams in a region.
  ShiftTargetState TargetStateOf(const std::string& service,
                                 const std::string& region,
                                 Time now) const;

  /// @brief Sets the number of live entry hosts by region.
  void SetHostCounts(std::map<std::string, int> host_counts) {
    host_counts_ = std::move(host_counts);
  }

  /// @brief Sets the requests per second of client accounts that may run in one
  /// region only, by region. Call a few times a second.
  void SetPinnedDemand(const std::map<std::string, double>& per_second) {
    pinned_capacity_.SetDemand(per_second);
  }

  ShiftTable& shifts() { return shifts_; }
  LinkLimits& links() { return links_; }

  /// @brief The upstreams that may serve a request with their expected
  /// latencies, best first, for operators.
  std::vector<Pick> Explain(const PickRequest& request, Time now);

  /// @brief Adds the time that opening a connection to an upstream took.
  void OnConnected(const UpstreamState& upstream, Duration round_trip);

  /// @brief Call when an attempt was cancelled or timed out without an answer.
  /// @param waited time since the attempt was sent.
  void OnNoAnswer(UpstreamState& upstream,
                  const Pick& pick,
                  Duration waited,
                  Time now);

  /// @brief Call when an upstream has answered a request.
  /// @param is_error whether it rejected the request or answered with an error.
  void OnOutcome(UpstreamState& upstream, bool is_error, Time now);

  /// @brief Call when a complete answer without an error was received.
  void OnAnswer(UpstreamState& upstream,
                const PickRequest& request,
                const Pick& pick,
                const AnswerMeasurements& measurements,
                Time now);

 private:
  struct SharesEntry {
    RegionShares shares;
    std::optional<Time> updated;  ///< empty: not computed yet
    /// Revision of the upstream table when the slots were counted.
    std::uint64_t revision = 0;
    std::map<std::string, int> slots;  ///< of open upstreams, by region
    /// Slots that rate limits make unusable, by region.
    std::map<std::string, double> unusable_slots;
  };
  struct ScoredPick {
    Pick pick;
    double score = 0;
  };

  std::vector<Candidate> Candidates(const PickRequest& request,
                                    std::vector<UpstreamPtr>& passed_over,
                                    Time now) const;
  void KeepLargeAnswersLocal(std::vector<Candidate>& candidates,
                             const PickRequest& request);
  PickFailure ApplyShift(std::vector<Candidate>& candidates,
                         const PickRequest& request);
  void KeepOnlyRegion(std::vector<Candidate>& candidates,
                      const std::string& region) const;
  RegionShares& SharesOf(const std::string& service, Time now);
  void CountSlots(SharesEntry& entry,
                  const std::string& service,
                  Time now) const;
  void EstimateWarmth(std::vector<Candidate>& candidates,
                      const PickRequest& request);
  ScoredPick Score(const Candidate& candidate,
                   const PickRequest& request,
                   Time now);
  RequestProfile& ProfileOf(const Route& route);
  Pick MakeRefusal(PickFailure failure, const PickRequest& request, Time now);
  double HostShare() const;
  Duration RoundTrip(const UpstreamState& upstream) const;
  double CarryingCost(const UpstreamState& upstream, double bytes) const;

  PickerSettings settings_;
  UpstreamTable& table_;
  AdmissionControl admission_;
  ShiftTable shifts_;
  LinkLimits links_;
  PinnedCapacity pinned_capacity_;
  std::map<std::string, int> host_counts_;            ///< live hosts, by region
  std::map<std::string, SharesEntry> shares_;         ///< by service
  std::map<std::string, RequestProfile> profiles_;    ///< by route name
  std::map<std::string, LatencyEstimate> latencies_;  ///< by failure domain
};

}  // namespace pathcleat
