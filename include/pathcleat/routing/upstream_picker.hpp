// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pathcleat/routing/key_placement.hpp"
#include "pathcleat/routing/link_limits.hpp"
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
  double domain_gigabyte_cost = 0;
  double region_gigabyte_cost = 0;
  /// Most requests in flight from this region to others, by region.
  std::map<std::string, int> link_limits;
  PolicySwitches policy;
};

/// @brief One request that wants an upstream.
/// @ingroup routing
struct PickRequest {
  const Route* route = nullptr;
  std::string service;
  std::uint64_t key = 0;  ///< hash of its affinity key, or of its id
  bool sticky = false;    ///< whether key tells where it is served quickly
  Duration time_left{0};
  Duration caller_deadline{0};     ///< that the caller sent with it
  std::set<std::string> excluded;  ///< ids already tried
  double caller_position = 0;      ///< of the caller in shifts, in [0, 1)
};

/// @brief Why there is no upstream for a request.
/// @ingroup routing
enum class PickFailure {
  kNone,
  kNoUpstream,  ///< none is listed, open and thought alive
  kTooLate,     ///< none would answer within the time left
  kOverloaded,  ///< it would wait so long that it is late: come back
  kShiftCap,    ///< to leave the region would pass a shift's cap
};

/// @brief Stable lower-case name of a failure, as logs and metrics tell it.
/// @ingroup routing
const char* ReasonOf(PickFailure failure);

/// @brief The choice, with the inputs that decided it.
/// @ingroup routing
struct Pick {
  UpstreamPtr upstream;  ///< null: see failure
  PickFailure failure = PickFailure::kNone;
  Duration expected{0};     ///< until the answer
  Duration wait{0};         ///< of it, before a slot is free
  Duration retry_after{0};  ///< for kOverloaded
  bool warm = false;
  WarmthSign sign;  ///< of the upstream for the key
  bool left_region = false;
  int candidates = 0;
};

/// @brief What an answer tells of its run.
/// @ingroup routing
struct AnswerFacts {
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

  /// @brief What is known of a region's upstreams of a service.
  TargetState StateOf(const std::string& service,
                      const std::string& region,
                      Time now) const;

  /// @brief Entry hosts alive, by region.
  void SetHosts(std::map<std::string, int> hosts) { hosts_ = std::move(hosts); }

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
                const AnswerFacts& facts,
                Time now);

 private:
  struct SharesEntry {
    RegionShares shares;
    std::optional<Time> updated;  ///< nothing: not reckoned yet
  };
  struct Scored {
    Pick pick;
    double worth = 0;
  };

  std::vector<Candidate> Candidates(const PickRequest& request, Time now) const;
  void KeepLargeNear(std::vector<Candidate>& candidates,
                     const PickRequest& request);
  PickFailure PassShift(std::vector<Candidate>& candidates,
                        const PickRequest& request);
  void KeepRegion(std::vector<Candidate>& candidates,
                  const std::string& region) const;
  RegionShares& SharesOf(const std::string& service, Time now);
  void EstimateWarmth(std::vector<Candidate>& candidates,
                      const PickRequest& request);
  Scored Score(const Candidate& candidate,
               const PickRequest& request,
               Time now);
  RequestProfile& ProfileOf(const Route& route);
  bool IsFirstTry(const PickRequest& request);
  void RefuseIfLate(Pick& pick, const PickRequest& request, Time now);
  Duration RoundTrip(const UpstreamState& upstream) const;
  double CarryingCost(const UpstreamState& upstream, double bytes) const;

  PickerSettings settings_;
  UpstreamTable& table_;
  ShiftTable shifts_;
  LinkLimits links_;
  std::map<std::string, int> hosts_;                  ///< alive, by region
  std::map<std::string, SharesEntry> shares_;         ///< by service
  std::map<std::string, RequestProfile> profiles_;    ///< by route name
  std::map<std::string, LatencyEstimate> latencies_;  ///< by failure domain
};

}  // namespace pathcleat
