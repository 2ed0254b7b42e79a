// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/config_history.hpp"

#include <algorithm>

namespace pathcleat {
namespace {

// 8 bytes a route and version: 0.2 MB for 1,400 routes. In the plays of issue
// 22 four versions came within 3 s, so this covers a host 12 s behind.
constexpr std::size_t kVersionsKept = 16;

}  // namespace

void ConfigHistory::Note(const RoutingConfig& config) {
  encoded_.clear();
  versions_.push_back({config.version, MarksOf(config.routes)});
  if (versions_.size() > kVersionsKept) {
    versions_.pop_front();
  }
}

const std::string& ConfigHistory::PartSince(const RoutingConfig& config,
                                            std::uint64_t known) {
  const Version* base = Find(known);
  const std::uint64_t key = base == nullptr ? 0 : known;
  const auto found = encoded_.find(key);
  if (found != encoded_.end()) {
    return found->second;
  }
  return encoded_[key] = EncodeConfigPart(MakePart(config, base));
}

const ConfigHistory::Version* ConfigHistory::Find(std::uint64_t number) const {
  const auto found = std::find_if(
      versions_.begin(), versions_.end(),
      [number](const Version& version) { return version.number == number; });
  return found == versions_.end() ? nullptr : &*found;
}

ConfigPart ConfigHistory::MakePart(const RoutingConfig& config,
                                   const Version* base) const {
  ConfigPart part;
  part.config.version = config.version;
  part.config.services = config.services;
  part.config.caller_limits = config.caller_limits;
  if (base == nullptr) {
    part.config.routes = config.routes;
    return part;
  }
  const RouteMarks& marks = versions_.back().marks;
  part.base = base->number;
  part.steps = StepsBetween(base->marks, config.routes, marks);
  part.digest = DigestOf(marks);
  return part;
}

}  // namespace pathcleat
