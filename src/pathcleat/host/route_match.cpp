// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/host/route_match.hpp"

#include <algorithm>

namespace pathcleat {
namespace {

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

bool Takes(const RequestKind& kind,
           std::string_view method,
           std::string_view path) {
  const bool method_fits = std::find(kind.methods.begin(), kind.methods.end(),
                                     method) != kind.methods.end();
  return method_fits && path.starts_with(kind.path_prefix);
}

}  // namespace

MatchResult MatchRequest(const Deployment& deployment,
                         std::string_view method,
                         std::string_view target) {
  const std::string_view path = PathOf(target);
  MatchResult result;
  std::optional<ServiceIndex> best;
  for (const ServiceIndex index :
       IndicesOf<ServiceIndex>(deployment.services)) {
    const std::string& prefix = deployment.At(index).path_prefix;
    const bool longer =
        !best || prefix.size() > deployment.At(*best).path_prefix.size();
    if (path.starts_with(prefix) && longer) {
      best = index;
    }
  }
  if (!best) {
    return result;
  }
  result.fault = MatchFault::kNoKind;
  const Service& service = deployment.At(*best);
  const std::string_view rest = path.substr(service.path_prefix.size());
  const std::string below =
      rest.starts_with('/') ? std::string(rest) : "/" + std::string(rest);
  const auto kind = std::find_if(
      service.kinds.begin(), service.kinds.end(),
      [&](const RequestKind& item) { return Takes(item, method, below); });
  if (kind != service.kinds.end()) {
    const auto position = kind - service.kinds.begin();
    result.match = RouteMatch{*best, static_cast<std::uint16_t>(position)};
  }
  return result;
}

}  // namespace pathcleat
