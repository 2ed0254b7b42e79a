// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pathcleat/core/index.hpp"
#include "pathcleat/core/request_kind.hpp"
#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief A region and its limit on requests in flight.
/// @ingroup settings
struct Region {
  std::string name;
  int max_in_flight = 0;  ///< 0: limited by the upstreams' slots only
};

/// @brief A failure domain and its region.
/// @ingroup settings
struct FailureDomain {
  std::string name;
  RegionIndex region;
};

/// @brief Name, failure domain and address of one entry host. They stay the
/// same when the process of the host is replaced.
/// @ingroup settings
struct EntryHost {
  std::string name;
  DomainIndex domain;
  std::string address;
  std::uint16_t caller_port = 0;
  std::uint16_t peer_port = 0;
  std::uint16_t operator_port = 0;
};

/// @brief One upstream instance.
/// @ingroup settings
struct Upstream {
  std::string name;
  ServiceIndex service;
  DomainIndex domain;
  std::string address;
  std::uint16_t port = 0;
  int slots = 1;
};

/// @brief A service: its path prefix and its kinds of request.
/// @ingroup settings
struct Service {
  std::string name;
  std::string path_prefix;
  std::string health_path = "/health";
  std::vector<RequestKind> kinds;  ///< the first matching kind applies
};

/// @brief Limit on requests in flight from one region to another.
/// @ingroup settings
struct RegionLink {
  RegionIndex from;
  RegionIndex to;
  int max_in_flight = 0;
};

/// @brief A block of client addresses and the region nearest to it.
/// @ingroup settings
struct ClientBlock {
  std::uint32_t first_address = 0;
  int prefix_length = 32;
  RegionIndex region;
};

/// @brief Address of the platform's service and the rate limit for its calls.
/// @ingroup settings
struct PlatformEndpoint {
  std::string address;
  std::uint16_t port = 0;
  double calls_per_second = 20;  ///< this host's share of the store's call rate
  int burst = 40;                ///< calls that may be made at once
};

/// @brief Settings that all hosts of one user share.
/// @ingroup settings
struct Deployment {
  std::string name;
  std::vector<Region> regions;
  std::vector<FailureDomain> domains;
  std::vector<EntryHost> hosts;
  std::vector<Service> services;
  std::vector<Upstream> upstreams;
  std::vector<RegionLink> links;
  std::vector<ClientBlock> client_blocks;
  PlatformEndpoint platform;
  Duration latency_in_domain{200};
  Duration latency_between_domains{1'000};
  Duration latency_between_regions{35'000};

  RegionIndex RegionOf(DomainIndex domain) const;
  RegionIndex RegionOf(HostIndex host) const;

  /// @brief One-way latency between two failure domains.
  Duration Latency(DomainIndex from, DomainIndex to) const;

  /// @brief All hosts of a failure domain, in order of their indices.
  std::vector<HostIndex> HostsIn(DomainIndex domain) const;

  /// @brief The longest deadline of all kinds of request.
  Duration MaxDeadline() const;

  std::optional<HostIndex> FindHost(std::string_view name) const;
  std::optional<RegionIndex> FindRegion(std::string_view name) const;
  std::optional<DomainIndex> FindDomain(std::string_view name) const;
  std::optional<ServiceIndex> FindService(std::string_view name) const;
  std::optional<UpstreamIndex> FindUpstream(std::string_view name) const;

  const EntryHost& At(HostIndex index) const { return hosts[index.value]; }
  const Region& At(RegionIndex index) const { return regions[index.value]; }
  const FailureDomain& At(DomainIndex i) const { return domains[i.value]; }
  const Service& At(ServiceIndex index) const { return services[index.value]; }
  const Upstream& At(UpstreamIndex i) const { return upstreams[i.value]; }
};

}  // namespace pathcleat
