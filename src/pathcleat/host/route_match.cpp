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
  std::optional<std::uint16_t> best;
  for (std::uint16_t i = 0; i < deployment.services.size(); ++i) {
    const std::string& prefix = deployment.services[i].path_prefix;
    const bool longer =
        !best || prefix.size() > deployment.services[*best].path_prefix.size();
    if (path.starts_with(prefix) && longer) {
      best = i;
    }
  }
  if (!best) {
    return result;
  }
  result.fault = MatchFault::kNoKind;
  const Service& service = deployment.services[*best];
  const std::string_view rest = path.substr(service.path_prefix.size());
  for (std::uint16_t k = 0; k < service.kinds.size(); ++k) {
    const std::string below =
        "/" + std::string(rest.starts_with('/') ? rest.substr(1) : rest);
    if (Takes(service.kinds[k], method, below)) {
      result.match = RouteMatch{ServiceIndex{*best}, k};
      return result;
    }
  }
  return result;
}

}  // namespace pathcleat
