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
#include "pathcleat/routing/upstream.hpp"

namespace pathcleat {

using UpstreamPtr = std::shared_ptr<UpstreamState>;

/// @brief The upstreams that the list names, by service. Not thread-safe.
/// @ingroup routing
class UpstreamTable {
 public:
  /// @param region_of_domain region of each failure domain, by name.
  explicit UpstreamTable(std::map<std::string, std::string> region_of_domain,
                         PolicySwitches policy = {});

  /// @brief Adds or renews an entry. What is known of the upstream beside
  /// the entry is kept, unless it has started again under its id.
  /// @return whether it has.
  bool Put(const UpstreamInfo& entry, Time now);

  /// @brief The entry is gone: no new requests.
  void Remove(const std::string& id);

  /// @brief The entry is gone, but may come back until a time: requests go
  /// there still, unless it was leaving.
  /// @return whether it is listed and was not leaving.
  bool Lapse(const std::string& id, Time until);

  /// @brief Stops or resumes new requests to a failure domain.
  void SetDomainDrained(const std::string& domain, bool drained);
  const std::set<std::string>& drained_domains() const { return drained_; }

  /// @brief The upstreams and regions that operators have drained.
  void SetOperatorDrains(std::set<std::string> upstreams,
                         std::set<std::string> regions);

  /// @brief Takes what was heard of the limit that an upstream names.
  LimitChange UpdateLimit(const UpstreamPtr& upstream,
                          const LimitObservation& sign,
                          Time now);

  /// @brief The listed upstream of an id; null if there is none.
  UpstreamPtr Find(const std::string& id) const;

  /// @brief All listed upstreams of a service.
  const std::vector<UpstreamPtr>& ForService(std::string_view service) const;

  /// @brief Upstreams whose rate may be bounded. Few are, so that looking after
  /// them several times a second does not grow with the list.
  const std::vector<UpstreamPtr>& MaybeRateBounded(Time now);

  /// @brief Upstreams whose entries have lapsed.
  std::vector<UpstreamPtr> Lapsed() const;

  /// @brief Rises with each change of what is listed and open.
  std::uint64_t revision() const { return revision_; }

  /// @brief All listed upstreams.
  std::vector<UpstreamPtr> All() const;

  /// @brief Whether new requests may go there, by list and drains.
  bool IsOpen(const UpstreamState& upstream) const;

  /// @brief Versions of a service's open upstreams.
  std::set<std::string> VersionsOf(std::string_view service) const;

  std::size_t size() const { return by_id_.size(); }

 private:
  void Watch(const UpstreamPtr& upstream);
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
  /// When each version of a service was first listed.
  std::map<std::string, std::map<std::string, Time>, std::less<>> versions_;
  std::vector<UpstreamPtr> maybe_bounded_;
  std::set<std::string> lapsed_;  ///< ids, also of some that came back
  std::uint64_t revision_ = 0;
  std::set<std::string> drained_;  ///< failure domains
  std::set<std::string> drained_upstreams_;
  std::set<std::string> drained_regions_;
};

}  // namespace pathcleat
