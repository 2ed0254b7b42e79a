// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/host/config_service.hpp"

#include <algorithm>
#include <mutex>
#include <utility>

namespace pathcleat {
namespace {

// Changes kept for peers that lag: 4 s at the target's 48,000 a day is 3, a
// quarter of an hour is 500.
constexpr std::size_t kKeptChanges = 512;
// Changes in one update; a peer that lags further asks again.
constexpr std::size_t kMostChangesAtOnce = 128;
// Site 0 of the block table means "not known"; region r is site r + 1.
constexpr std::uint16_t kNoSite = 0;

std::uint32_t LastAddress(std::uint32_t first, int prefix_length) {
  constexpr int kAddressBits = 32;
  const std::uint64_t size = std::uint64_t{1} << (kAddressBits - prefix_length);
  return static_cast<std::uint32_t>(first + (size - 1));
}

std::uint16_t SiteOf(RegionIndex region) {
  return static_cast<std::uint16_t>(region.value + 1);
}

const char* NameOf(ConfigSource source) {
  switch (source) {
    case ConfigSource::kStore:
      return "the platform";
    case ConfigSource::kOperator:
      return "this host's operator";
    case ConfigSource::kSibling:
      return "a sibling";
    case ConfigSource::kOtherDomain:
      return "another failure domain";
  }
  return "elsewhere";
}

std::shared_ptr<const ConfigState> WithoutBlocks(const ConfigState& state) {
  auto small = std::make_shared<ConfigState>();
  small->version = state.version;
  small->drained_upstreams = state.drained_upstreams;
  small->drained_regions = state.drained_regions;
  small->shifts = state.shifts;
  return small;
}

// Wide blocks first, so that narrow ones inside them win.
BlockTable TableFrom(std::vector<ClientBlock> blocks) {
  std::stable_sort(blocks.begin(), blocks.end(),
                   [](const ClientBlock& a, const ClientBlock& b) {
                     return a.prefix_length < b.prefix_length;
                   });
  BlockTable table({});
  for (const ClientBlock& block : blocks) {
    table.Assign(block.first_address,
                 LastAddress(block.first_address, block.prefix_length),
                 SiteOf(block.region));
  }
  table.Compact();
  return table;
}

void AssignBlockTo(BlockTable& table, const AssignBlock& block) {
  table.Assign(block.first_address,
               LastAddress(block.first_address, block.prefix_length),
               SiteOf(block.region));
}

}  // namespace

ConfigService::ConfigService(const HostSettings& settings, EventLog& events)
    : settings_(settings),
      events_(events),
      log_(kKeptChanges),
      state_(std::make_shared<ConfigState>()),
      blocks_(TableFrom(settings.deployment.client_blocks)) {}

std::uint64_t ConfigService::version() const {
  const std::lock_guard lock(mutex_);
  return log_.version();
}

std::shared_ptr<const ConfigState> ConfigService::state() const {
  const std::lock_guard lock(mutex_);
  return state_;
}

ConfigState ConfigService::WholeState() const {
  const std::lock_guard lock(mutex_);
  return log_.state();
}

std::size_t ConfigService::changed_blocks() const {
  const std::lock_guard lock(mutex_);
  return log_.state().blocks.size();
}

void ConfigService::Apply(const ConfigUpdate& update, ConfigSource source) {
  std::vector<std::function<void(ConfigSource)>> listeners;
  std::uint64_t version = 0;
  {
    const std::lock_guard lock(mutex_);
    const bool adopted = update.state && log_.Adopt(*update.state);
    if (adopted) {
      RebuildBlocks();
    }
    const auto applied = log_.Apply(update.changes);
    for (const ConfigChange& change : applied) {
      if (const auto* block = std::get_if<AssignBlock>(&change.operation)) {
        AssignBlockTo(blocks_, *block);
      }
    }
    if (!adopted && applied.empty()) {
      return;
    }
    version = log_.version();
    state_ = WithoutBlocks(log_.state());
    listeners = listeners_;
  }
  events_.Record(EventCode::kConfigApplied, std::to_string(version),
                 "configuration version " + std::to_string(version) +
                     " is in force here, from " + NameOf(source));
  for (const auto& listener : listeners) {
    listener(source);
  }
}

ConfigUpdate ConfigService::UpdateAfter(std::uint64_t version) const {
  ConfigUpdate update;
  const std::lock_guard lock(mutex_);
  if (!log_.Covers(version) && version < log_.version()) {
    update.state = log_.state();
  } else {
    update.changes = log_.ChangesAfter(version, kMostChangesAtOnce);
  }
  return update;
}

void ConfigService::OnChanged(std::function<void(ConfigSource)> listener) {
  const std::lock_guard lock(mutex_);
  listeners_.push_back(std::move(listener));
}

std::optional<RegionIndex> ConfigService::RegionOf(
    std::uint32_t address) const {
  const std::lock_guard lock(mutex_);
  const std::uint16_t site = blocks_.Find(address);
  if (site == kNoSite) {
    return std::nullopt;
  }
  return RegionIndex{static_cast<std::uint16_t>(site - 1)};
}

void ConfigService::RebuildBlocks() {
  blocks_ = TableFrom(settings_.deployment.client_blocks);
  for (const AssignBlock& block : log_.state().blocks) {
    AssignBlockTo(blocks_, block);
  }
}

}  // namespace pathcleat
