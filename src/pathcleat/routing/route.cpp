// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/route.hpp"

#include "pathcleat/core/field_hash.hpp"

namespace pathcleat {

std::uint64_t ContentHash(const Route& route) {
  FieldHash field_hash;
  field_hash.Add(route.name);
  field_hash.Add(route.host);
  field_hash.Add(route.path_prefix);
  field_hash.Add(route.splits.size());
  for (const RouteSplit& split : route.splits) {
    field_hash.Add(split.service);
    field_hash.Add(split.weight);
  }
  field_hash.Add(route.repeatable);
  field_hash.Add(route.large_answers);
  field_hash.Add(route.sticky);
  field_hash.Add(route.needs_account_key);
  field_hash.Add(route.priority);
  field_hash.Add(route.max_attempts);
  field_hash.Add(route.timeout.count());
  field_hash.Add(route.target_latency.count());
  field_hash.Add(route.allowed_regions.size());
  for (const std::string& region : route.allowed_regions) {
    field_hash.Add(region);
  }
  return field_hash.hash();
}

}  // namespace pathcleat
