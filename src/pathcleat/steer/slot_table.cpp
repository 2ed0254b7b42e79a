// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/slot_table.hpp"

#include <algorithm>

namespace pathcleat {
namespace {

// Weight of a new latency in the moving average.
constexpr double kLatencyGain = 0.1;
// An instance is still cold while its answers take longer than this multiple
// of its service's typical latency.
constexpr int kColdLatencyRatio = 3;

Duration Blend(Duration average, Duration sample) {
  if (average == Duration::zero()) {
    return sample;
  }
  const auto delta = static_cast<double>((sample - average).count());
  return average + Duration(static_cast<Duration::rep>(kLatencyGain * delta));
}

}  // namespace

void SlotTable::Add(UpstreamIndex upstream,
                    ServiceIndex service,
                    int slots,
                    Time usable_from) {
  Instance& instance = instances_[upstream];
  instance.service = service;
  instance.slots = slots;
  instance.usable_from = usable_from;
  instance.owned = true;
}

void SlotTable::Remove(UpstreamIndex upstream) {
  const auto found = instances_.find(upstream);
  if (found == instances_.end()) {
    return;
  }
  found->second.owned = false;
  if (found->second.in_flight == 0) {
    instances_.erase(found);
  }
}

void SlotTable::SetLeaving(UpstreamIndex upstream,
                           LeavingSource source,
                           bool leaving) {
  const auto bit = static_cast<unsigned>(source);
  unsigned& sources = leaving_[upstream];
  sources = leaving ? sources | bit : sources & ~bit;
  if (sources == 0) {
    leaving_.erase(upstream);
  }
}

void SlotTable::SetHealthy(UpstreamIndex upstream, bool healthy) {
  const auto found = instances_.find(upstream);
  if (found == instances_.end()) {
    return;
  }
  Instance& instance = found->second;
  if (healthy && !instance.healthy) {
    instance.window = 1;
  }
  instance.healthy = healthy;
}

bool SlotTable::IsUsable(UpstreamIndex upstream,
                         const Instance& instance,
                         Time now) const {
  return instance.owned && !leaving_.contains(upstream) && instance.healthy &&
         now >= instance.usable_from;
}

int SlotTable::Free(UpstreamIndex upstream,
                    const Instance& instance,
                    Time now) const {
  if (!IsUsable(upstream, instance, now)) {
    return 0;
  }
  return std::max(
      0, std::min(instance.window, instance.slots) - instance.in_flight);
}

bool SlotTable::AtTotalLimit() const {
  return total_limit_ && TotalInFlight() >= *total_limit_;
}

std::optional<SlotToken> SlotTable::Acquire(ServiceIndex service, Time now) {
  if (AtTotalLimit()) {
    return std::nullopt;
  }
  std::optional<UpstreamIndex> best;
  double best_load = 0;
  for (const auto& [index, instance] : instances_) {
    if (instance.service != service || Free(index, instance, now) == 0) {
      continue;
    }
    const double load =
        static_cast<double>(instance.in_flight) / instance.slots;
    if (!best || load < best_load) {
      best = index;
      best_load = load;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  return Take(*best, instances_[*best]);
}

std::optional<SlotToken> SlotTable::AcquireAt(UpstreamIndex upstream,
                                              Time now) {
  const auto found = instances_.find(upstream);
  if (AtTotalLimit() || found == instances_.end()) {
    return std::nullopt;
  }
  Instance& instance = found->second;
  const bool may_probe = instance.owned && now >= instance.usable_from &&
                         instance.in_flight < instance.slots;
  if (!may_probe) {
    return std::nullopt;
  }
  return Take(upstream, instance);
}

SlotToken SlotTable::Take(UpstreamIndex upstream, Instance& instance) {
  ++instance.in_flight;
  const SlotToken token{upstream, next_serial_++};
  held_.emplace(token.serial, Held{upstream, std::nullopt});
  return token;
}

void SlotTable::Release(const SlotToken& token, SlotUse use, Duration latency) {
  const auto held = held_.find(token.serial);
  if (held == held_.end()) {
    return;
  }
  held_.erase(held);
  const auto found = instances_.find(token.upstream);
  Instance& instance = found->second;
  --instance.in_flight;
  if (use == SlotUse::kAnswered) {
    Learn(instance, latency);
  }
  if (!instance.owned && instance.in_flight == 0) {
    instances_.erase(found);
  }
}

void SlotTable::Learn(Instance& instance, Duration latency) {
  Duration& typical = latency_[instance.service];
  typical = Blend(typical, latency);
  if (latency <= typical * kColdLatencyRatio) {
    instance.window = std::min(instance.window + 1, instance.slots);
  }
}

void SlotTable::HoldUntil(const SlotToken& token, Time until) {
  const auto held = held_.find(token.serial);
  if (held != held_.end()) {
    held->second.until = until;
  }
}

void SlotTable::Expire(Time now) {
  std::vector<SlotToken> ended;
  for (const auto& [serial, held] : held_) {
    if (held.until && *held.until <= now) {
      ended.push_back({held.upstream, serial});
    }
  }
  for (const SlotToken& token : ended) {
    Release(token, SlotUse::kFailed, Duration::zero());
  }
}

SlotSummary SlotTable::Summary(ServiceIndex service, Time now) const {
  SlotSummary summary;
  for (const auto& [index, instance] : instances_) {
    if (instance.service == service && IsUsable(index, instance, now)) {
      summary.slots += instance.slots;
      summary.free += Free(index, instance, now);
    }
  }
  if (total_limit_) {
    summary.slots = std::min(summary.slots, *total_limit_);
    summary.free =
        std::min(summary.free, std::max(0, *total_limit_ - TotalInFlight()));
  }
  const auto latency = latency_.find(service);
  if (latency != latency_.end()) {
    summary.latency = latency->second;
  }
  return summary;
}

int SlotTable::InFlight(UpstreamIndex upstream) const {
  const auto found = instances_.find(upstream);
  return found == instances_.end() ? 0 : found->second.in_flight;
}

bool SlotTable::Owns(UpstreamIndex upstream) const {
  const auto found = instances_.find(upstream);
  return found != instances_.end() && found->second.owned;
}

bool SlotTable::IsLeaving(UpstreamIndex upstream) const {
  return leaving_.contains(upstream);
}

bool SlotTable::IsHealthy(UpstreamIndex upstream) const {
  const auto found = instances_.find(upstream);
  return found != instances_.end() && found->second.healthy;
}

std::vector<UpstreamIndex> SlotTable::Owned() const {
  std::vector<UpstreamIndex> owned;
  for (const auto& [index, instance] : instances_) {
    if (instance.owned) {
      owned.push_back(index);
    }
  }
  return owned;
}

int SlotTable::UsableInstances(ServiceIndex service, Time now) const {
  return static_cast<int>(std::count_if(
      instances_.begin(), instances_.end(), [&](const auto& entry) {
        return entry.second.service == service &&
               IsUsable(entry.first, entry.second, now);
      }));
}

}  // namespace pathcleat
