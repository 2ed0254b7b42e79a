// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "pathcleat/core/mechanism.hpp"
#include "pathcleat/routing/leaving_ledger.hpp"
#include "pathcleat/routing/upstream.hpp"

namespace pathcleat {

using UpstreamPtr = std::shared_ptr<UpstreamState>;

/// @brief Why this host may not send a request to an upstream now.
/// @ingroup routing
enum class SendBlock {
  kNone,     ///< the request may be sent
  kClosed,   ///< the upstream is not listed, listed as leaving, or drained
  kLeaving,  ///< the upstream stated in an answer that it leaves
  kVersionNotOpen,  ///< the rollout order of its version may not have arrived
  kBackoff,         ///< the upstream asked this host for time without requests
  kRateShare,       ///< this host's share of its bounded rate is used up
};

/// @brief Describes a block, for logs.
/// @ingroup routing
const char* ToText(SendBlock block);

/// @brief What one request has reserved at its upstream.
/// @ingroup routing
struct SendReservation {
  bool rate_share = false;  ///< one request of this host's share of the rate
  bool trial = false;       ///< the one request while the upstream recovers
};

/// @brief The listed upstreams by service. Not thread-safe.
/// @ingroup routing
class UpstreamTable {
 public:
  /// @param region_of_domain region of each failure domain, by name.
  explicit UpstreamTable(std::map<std::string, std::string> region_of_domain,
                         PolicySwitches policy = {});

  /// @brief Adds or updates an entry. A listed upstream keeps its state
  /// apart from the entry, unless it has restarted under the same id.
  /// @return whether the upstream has restarted.
  bool Put(const UpstreamInfo& entry, Time now);

  /// @brief Records when this host first learnt, from any source, that an
  /// upstream leaves.
  void NoteLeavingKnown(const std::string& id, Time now);

  /// @brief Removes an entry; its upstream gets no new requests.
  void Remove(const std::string& id);

  /// @brief Marks an entry as missing from the list. The upstream still gets
  /// requests.
  /// @param until when the entry may still return to the list.
  /// @return false, without effect, if the upstream is not listed or is
  /// leaving.
  bool Lapse(const std::string& id, Time until);

  /// @brief Stops or resumes new requests to a failure domain.
  void SetDomainDrained(const std::string& domain, bool drained);
  const std::set<std::string>& drained_domains() const {
    return drained_domains_;
  }

  /// @brief Sets the upstreams and regions that operators have drained.
  void SetOperatorDrains(std::set<std::string> upstreams,
                         std::set<std::string> regions);

  /// @brief Applies an observation of the rate limit of an upstream.
  LimitChange UpdateLimit(const UpstreamPtr& upstream,
                          const LimitObservation& update,
                          Time now);

  /// @brief Applies what an upstream stated about whether it leaves. The
  /// statement applies also if the upstream is listed later, or again.
  /// @return whether the listed upstream gets requests now and did not before,
  /// or the reverse.
  bool UpdateLeaving(const std::string& id, const LeavingStatement& statement);
  const LeavingLedger& leaving_ledger() const { return leaving_ledger_; }

  /// @brief Stops requests to an upstream for a time that it asked for; see
  /// UpstreamBackoff::Start.
  /// @return whether the time was extended.
  bool StartBackoff(const UpstreamPtr& upstream,
                    Duration delay,
                    double spread,
                    Time now);

  /// @brief Upstreams that get no requests for a time that they asked for.
  const std::vector<UpstreamPtr>& BackingOff() const { return backing_off_; }

  /// @brief Drops old statements, and backoffs that are over. Call a few times
  /// a second.
  /// @return upstreams whose backoff is over.
  std::vector<UpstreamPtr> EndBackoffs(Time now);

  /// @brief The listed upstream of an id; null if there is none.
  UpstreamPtr Find(const std::string& id) const;

  /// @brief All listed upstreams of a service.
  const std::vector<UpstreamPtr>& ForService(std::string_view service) const;

  /// @brief Upstreams whose rate may be bounded. Only these few upstreams are
  /// checked several times a second, so that the cost does not grow with the
  /// list.
  const std::vector<UpstreamPtr>& RateBoundCandidates(Time now);

  /// @brief Upstreams whose entries have lapsed.
  std::vector<UpstreamPtr> LapsedUpstreams() const;

  /// @brief Increases with each change of the listed or open upstreams.
  std::uint64_t revision() const { return revision_; }

  /// @brief All listed upstreams.
  std::vector<UpstreamPtr> All() const;

  /// @brief Whether the list entry, the drains and the upstream's own statement
  /// permit new requests. An upstream that is not open stays so for long.
  bool IsOpen(const UpstreamState& upstream) const {
    return LastingBlockOf(upstream) == SendBlock::kNone;
  }

  /// @brief Why a request may not be sent to an upstream now. This is asked
  /// when an upstream is chosen and again before the first byte is written.
  /// @param held what the request has reserved at the upstream already.
  SendBlock BlockOf(const UpstreamState& upstream,
                    const SendReservation& held,
                    Time now) const;

  /// @brief Reserves what a request needs that may be sent now.
  /// @return why it may not be sent; then nothing is reserved.
  SendBlock Reserve(UpstreamState& upstream,
                    SendReservation& held,
                    Time now) const;

  /// @brief Ends the reservations of a request.
  /// @param was_sent whether bytes of the request may have been sent; if not,
  /// its part of the bounded rate is available again.
  void Release(UpstreamState& upstream,
               SendReservation& held,
               bool was_sent,
               Time now) const;

  /// @brief Versions of a service's upstreams that are not leaving. Drained
  /// upstreams count.
  std::set<std::string> VersionsOf(std::string_view service) const;

  std::size_t size() const { return by_id_.size(); }

 private:
  SendBlock LastingBlockOf(const UpstreamState& upstream) const;
  void TrackRateBound(const UpstreamPtr& upstream);
  UpstreamPtr Add(const UpstreamInfo& entry, Time now);
  Time OpenFrom(const UpstreamInfo& entry, Time now);
  std::shared_ptr<AverageLoad> AverageLoadOf(const UpstreamState& upstream);

  std::map<std::string, std::string> region_of_domain_;
  PolicySwitches policy_;
  std::map<std::string, UpstreamPtr> by_id_;
  std::map<std::string, std::vector<UpstreamPtr>, std::less<>> by_service_;
  /// By service and region.
  std::map<std::pair<std::string, std::string>, std::shared_ptr<AverageLoad>>
      average_loads_;
  /// When each version of a service may first get requests.
  std::map<std::string, std::map<std::string, Time>, std::less<>>
      version_open_times_;
  std::vector<UpstreamPtr> rate_bound_candidates_;
  std::vector<UpstreamPtr> backing_off_;
  LeavingLedger leaving_ledger_;
  std::set<std::string> lapsed_ids_;  ///< ids of upstreams with lapsed entries
  std::uint64_t revision_ = 0;
  std::set<std::string> drained_domains_;
  std::set<std::string> drained_upstreams_;
  std::set<std::string> drained_regions_;
};

}  // namespace pathcleat
