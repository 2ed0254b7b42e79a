// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/lab/deployment_config.hpp"

#include <nlohmann/json.hpp>

namespace pathcleat {
namespace {

// Path prefix of a kind of request under its service, always with a slash at
// the end.
std::string PrefixOf(const Service& service, const RequestKind& kind) {
  std::string prefix = service.path_prefix + kind.path_prefix;
  if (!prefix.ends_with('/')) {
    prefix += '/';
  }
  return prefix;
}

std::string AddressText(const std::string& address, std::uint16_t port) {
  return address + ":" + std::to_string(port);
}

Route RouteOf(const Deployment& deployment,
              const Service& service,
              const RequestKind& kind) {
  Route route;
  route.name = service.name + "/" + kind.name;
  route.host = HostHeaderOf(deployment);
  route.path_prefix = PrefixOf(service, kind);
  route.splits = {{service.name, 1}};
  route.repeatable = kind.repeatable;
  route.sticky = true;
  route.large_answers = kind.priority == Priority::kDownload;
  route.priority = static_cast<int>(kind.priority);
  route.max_attempts = 2;
  route.timeout = kind.deadline;
  route.target_latency = kind.deadline / 4;
  return route;
}

}  // namespace

std::string HostHeaderOf(const Deployment& deployment) {
  return deployment.name + ".example";
}

RoutingConfig RoutingConfigOf(const Deployment& deployment) {
  RoutingConfig config;
  config.version = 1;
  for (const Service& service : deployment.services) {
    ServiceInfo info;
    info.name = service.name;
    info.health_path = service.health_path;
    config.services.push_back(info);
    for (const RequestKind& kind : service.kinds) {
      config.routes.push_back(RouteOf(deployment, service, kind));
    }
  }
  return config;
}

std::vector<UpstreamInfo> UpstreamInfosOf(const Deployment& deployment) {
  std::vector<UpstreamInfo> upstreams;
  for (const Upstream& upstream : deployment.upstreams) {
    UpstreamInfo info;
    info.id = upstream.name;
    info.service = deployment.At(upstream.service).name;
    info.address = AddressText(upstream.address, upstream.port);
    info.domain = deployment.At(upstream.domain).name;
    info.slots = upstream.slots;
    upstreams.push_back(info);
  }
  return upstreams;
}

std::string SettingsTextOf(const Deployment& deployment, HostIndex index) {
  using nlohmann::ordered_json;
  const EntryHost& host = deployment.At(index);
  ordered_json domains = ordered_json::array();
  for (const FailureDomain& domain : deployment.domains) {
    domains.push_back(
        {{"name", domain.name}, {"region", deployment.At(domain.region).name}});
  }
  ordered_json links = ordered_json::array();
  for (const RegionLink& link : deployment.links) {
    if (link.from == deployment.RegionOf(index)) {
      links.push_back({{"to", deployment.At(link.to).name},
                       {"max_in_flight", link.max_in_flight}});
    }
  }
  const std::string callers = AddressText(host.address, host.caller_port);
  const ordered_json settings = {
      {"host", host.name},
      {"failure_domain", deployment.At(host.domain).name},
      {"region", deployment.At(deployment.RegionOf(index)).name},
      {"failure_domains", domains},
      {"listen",
       {{"callers", callers},
        {"readiness", AddressText(host.address, static_cast<std::uint16_t>(
                                                    host.caller_port + 1))},
        {"locate", AddressText(host.address, static_cast<std::uint16_t>(
                                                 host.caller_port + 2))},
        {"operators", AddressText(host.address, host.operator_port)},
        {"metrics", AddressText(host.address, static_cast<std::uint16_t>(
                                                  host.caller_port + 3))}}},
      {"peers", {{"address", host.address}, {"port", host.peer_port}}},
      {"store",
       {{"address",
         AddressText(deployment.platform.address, deployment.platform.port)}}},
      {"links", links}};
  constexpr int kIndent = 2;
  return "// Settings of one entry host.\n" + settings.dump(kIndent) + "\n";
}

}  // namespace pathcleat
