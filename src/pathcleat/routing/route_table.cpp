// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/route_table.hpp"

#include <algorithm>
#include <utility>

namespace pathcleat {
namespace {

std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

}  // namespace

bool RouteTable::ReplaceIfNewer(RoutingConfig config) {
  if (config_ && config.version <= config_->version) {
    return false;
  }
  config_ = std::make_shared<const RoutingConfig>(std::move(config));
  by_host_.clear();
  services_.clear();
  for (const Route& route : config_->routes) {
    by_host_[LowerCase(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route* a, const Route* b) {
                       return a->path_prefix.size() > b->path_prefix.size();
                     });
  }
  for (const ServiceInfo& service : config_->services) {
    services_.emplace(service.name, &service);
  }
  return true;
}

Duration RouteTable::ShortestTimeout() const {
  if (!config_ || config_->routes.empty()) {
    return Duration::zero();
  }
  return std::min_element(config_->routes.begin(), config_->routes.end(),
                          [](const Route& a, const Route& b) {
                            return a.timeout < b.timeout;
                          })
      ->timeout;
}

std::shared_ptr<const Route> RouteTable::Find(std::string_view host,
                                              std::string_view target) const {
  const auto routes = by_host_.find(LowerCase(WithoutPort(host)));
  if (routes == by_host_.end()) {
    return nullptr;
  }
  const std::string_view path = PathOf(target);
  const auto found = std::find_if(
      routes->second.begin(), routes->second.end(), [path](const Route* route) {
        return path.substr(0, route->path_prefix.size()) == route->path_prefix;
      });
  return found == routes->second.end()
             ? nullptr
             : std::shared_ptr<const Route>(config_, *found);
}

const ServiceInfo* RouteTable::FindService(std::string_view name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : found->second;
}

const RouteSplit* PickSplit(const Route& route, double position) {
  double total = 0;
  for (const RouteSplit& split : route.splits) {
    total += split.weight;
  }
  double left = position * total;
  for (const RouteSplit& split : route.splits) {
    left -= split.weight;
    if (left < 0) {
      return &split;
    }
  }
  return route.splits.empty() ? nullptr : &route.splits.back();
}

}  // namespace pathcleat
