// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/settings/deployment.hpp"

#include <algorithm>

namespace pathcleat {
namespace {

template <class IndexType, class Items>
std::optional<IndexType> FindByName(const Items& items, std::string_view name) {
  const auto found =
      std::find_if(items.begin(), items.end(),
                   [name](const auto& item) { return item.name == name; });
  if (found == items.end()) {
    return std::nullopt;
  }
  return IndexType{static_cast<std::uint16_t>(found - items.begin())};
}

}  // namespace

RegionIndex Deployment::RegionOf(DomainIndex domain) const {
  return At(domain).region;
}

RegionIndex Deployment::RegionOf(HostIndex host) const {
  return RegionOf(At(host).domain);
}

Duration Deployment::Latency(DomainIndex from, DomainIndex to) const {
  if (from == to) {
    return latency_in_domain;
  }
  const bool same_region = RegionOf(from) == RegionOf(to);
  return same_region ? latency_between_domains : latency_between_regions;
}

std::vector<HostIndex> Deployment::HostsIn(DomainIndex domain) const {
  std::vector<HostIndex> found;
  for (const HostIndex host : IndicesOf<HostIndex>(hosts)) {
    if (At(host).domain == domain) {
      found.push_back(host);
    }
  }
  return found;
}

Duration Deployment::MaxDeadline() const {
  Duration longest{0};
  for (const Service& service : services) {
    for (const RequestKind& kind : service.kinds) {
      longest = std::max(longest, kind.deadline);
    }
  }
  return longest;
}

std::optional<HostIndex> Deployment::FindHost(std::string_view name) const {
  return FindByName<HostIndex>(hosts, name);
}

std::optional<RegionIndex> Deployment::FindRegion(std::string_view name) const {
  return FindByName<RegionIndex>(regions, name);
}

std::optional<DomainIndex> Deployment::FindDomain(std::string_view name) const {
  return FindByName<DomainIndex>(domains, name);
}

std::optional<ServiceIndex> Deployment::FindService(
    std::string_view name) const {
  return FindByName<ServiceIndex>(services, name);
}

std::optional<UpstreamIndex> Deployment::FindUpstream(
    std::string_view name) const {
  return FindByName<UpstreamIndex>(upstreams, name);
}

}  // namespace pathcleat
