// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/route.hpp"

#include "pathcleat/core/field_hash.hpp"

namespace pathcleat {

std::uint64_t ContentHash(const Route& route) {
  FieldHash mark;
  mark.Add(route.name);
  mark.Add(route.host);
  mark.Add(route.path_prefix);
  mark.Add(route.splits.size());
  for (const RouteSplit& split : route.splits) {
    mark.Add(split.service);
    mark.Add(split.weight);
  }
  mark.Add(route.repeatable);
  mark.Add(route.large_answers);
  mark.Add(route.sticky);
  mark.Add(route.needs_account_key);
  mark.Add(route.priority);
  mark.Add(route.max_attempts);
  mark.Add(route.timeout.count());
  mark.Add(route.target_latency.count());
  mark.Add(route.allowed_regions.size());
  for (const std::string& region : route.allowed_regions) {
    mark.Add(region);
  }
  return mark.hash();
}

}  // namespace pathcleat
