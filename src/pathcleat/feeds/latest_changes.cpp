// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/feeds/latest_changes.hpp"

#include <cstddef>
#include <string_view>
#include <unordered_map>

namespace pathcleat {
namespace {

// Id of the upstream that a change is about; empty for other kinds of changes.
std::string_view UpstreamIdOf(const FleetChange& change) {
  if (const auto* listed = std::get_if<UpstreamInfo>(&change)) {
    return listed->id;
  }
  if (const auto* removed = std::get_if<UpstreamRemoval>(&change)) {
    return removed->id;
  }
  if (const auto* unreadable = std::get_if<UnreadableRow>(&change)) {
    return unreadable->key;
  }
  return {};
}

}  // namespace

std::vector<FleetChange> LatestChanges(
    const std::vector<FleetChange>& changes) {
  std::unordered_map<std::string_view, std::size_t> last_index;
  for (std::size_t i = 0; i < changes.size(); ++i) {
    last_index[UpstreamIdOf(changes[i])] = i;
  }
  std::vector<FleetChange> latest;
  latest.reserve(changes.size());
  for (std::size_t i = 0; i < changes.size(); ++i) {
    const std::string_view id = UpstreamIdOf(changes[i]);
    if (id.empty() || last_index.at(id) == i) {
      latest.push_back(changes[i]);
    }
  }
  return latest;
}

}  // namespace pathcleat
