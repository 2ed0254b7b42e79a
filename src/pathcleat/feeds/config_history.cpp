// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/feeds/config_history.hpp"

#include <algorithm>

namespace pathcleat {
namespace {

// Each version takes 8 bytes for each route and account: 0.2 MB in total for
// 1,400 routes. At the fastest rate of changes, four versions in 3 s, this
// number of versions covers a host that is 12 s behind.
constexpr std::size_t kMaxVersions = 16;

template <class Entry>
ListDelta<Entry> MakeListDelta(const ListHashes& old_hashes,
                               const std::vector<Entry>& entries,
                               const ListHashes& hashes) {
  return {ComputeListDelta(old_hashes, entries, hashes), DigestOf(hashes)};
}

}  // namespace

void ConfigHistory::Append(const RoutingConfig& config) {
  encoded_.clear();
  versions_.push_back({config.version, ContentHashes(config.routes),
                       ContentHashes(config.accounts)});
  if (versions_.size() > kMaxVersions) {
    versions_.pop_front();
  }
}

const std::string& ConfigHistory::EncodedUpdateSince(
    const RoutingConfig& config,
    std::uint64_t base_version) {
  const Version* base = Find(base_version);
  const std::uint64_t key = base == nullptr ? 0 : base_version;
  const auto found = encoded_.find(key);
  if (found != encoded_.end()) {
    return found->second;
  }
  return encoded_[key] = EncodeConfigUpdate(MakeUpdate(config, base));
}

const ConfigHistory::Version* ConfigHistory::Find(std::uint64_t number) const {
  const auto found = std::find_if(
      versions_.begin(), versions_.end(),
      [number](const Version& version) { return version.number == number; });
  return found == versions_.end() ? nullptr : &*found;
}

ConfigUpdate ConfigHistory::MakeUpdate(const RoutingConfig& config,
                                       const Version* base) const {
  ConfigUpdate update;
  update.config.version = config.version;
  update.config.services = config.services;
  update.config.caller_limits = config.caller_limits;
  if (base == nullptr) {
    update.config.routes = config.routes;
    update.config.accounts = config.accounts;
    return update;
  }
  const Version& newest = versions_.back();
  update.base_version = base->number;
  update.routes = MakeListDelta(base->routes, config.routes, newest.routes);
  update.accounts =
      MakeListDelta(base->accounts, config.accounts, newest.accounts);
  return update;
}

}  // namespace pathcleat
