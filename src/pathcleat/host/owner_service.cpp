// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/host/owner_service.hpp"

#include <algorithm>
#include <mutex>
#include <utility>

#include "pathcleat/host/post.hpp"
#include "pathcleat/steer/seat_assignment.hpp"
#include "pathcleat/steer/split_limit.hpp"

namespace pathcleat {
namespace {

std::vector<SeatIndex> AssignUpstreams(const Deployment& deployment) {
  std::vector<SeatIndex> seat_of;
  for (const Upstream& upstream : deployment.upstreams) {
    std::vector<NamedSeat> seats;
    for (const SeatIndex seat : deployment.SeatsIn(upstream.domain)) {
      seats.push_back({seat, deployment.At(seat).name});
    }
    seat_of.push_back(seats.empty() ? SeatIndex{}
                                    : OwningSeat(upstream.name, seats));
  }
  return seat_of;
}

// Each seat's exact share of its region's limit, by the slots it owns.
std::vector<int> ShareRegionLimits(const Deployment& deployment,
                                   const std::vector<SeatIndex>& seat_of) {
  std::vector<int> slots(deployment.seats.size(), 0);
  for (std::size_t i = 0; i < seat_of.size(); ++i) {
    slots[seat_of[i].value] += deployment.upstreams[i].slots;
  }
  std::vector<int> shares(deployment.seats.size(), 0);
  for (const RegionIndex region : IndicesOf<RegionIndex>(deployment.regions)) {
    std::vector<int> weights = slots;
    for (const SeatIndex seat : IndicesOf<SeatIndex>(deployment.seats)) {
      if (deployment.RegionOf(seat) != region) {
        weights[seat.value] = 0;
      }
    }
    const auto split = SplitLimit(deployment.At(region).max_in_flight, weights);
    for (std::size_t s = 0; s < shares.size(); ++s) {
      shares[s] += split[s];
    }
  }
  return shares;
}

OwnerOptions OptionsFrom(const HostSettings& settings) {
  OwnerOptions options;
  options.max_waiting = settings.max_waiting;
  return options;
}

}  // namespace

OwnerService::OwnerService(const HostSettings& settings, EventLog& events)
    : settings_(settings),
      events_(events),
      seat_of_(AssignUpstreams(settings.deployment)),
      region_share_(ShareRegionLimits(settings.deployment, seat_of_)),
      permits_(settings.deployment.seats.size()),
      table_(OptionsFrom(settings)) {}

void OwnerService::Submit(const WorkItem& item,
                          QObject* context,
                          Callback callback) {
  Deliveries deliveries;
  {
    const std::lock_guard lock(mutex_);
    const bool is_new =
        !closed_ &&
        pending_.try_emplace(item.id, Pending{context, callback}).second;
    if (is_new) {
      deliveries = Collect(table_.Submit(item, BootClock::now()));
    } else {
      deliveries.push_back({Pending{context, std::move(callback)},
                            Refusal{closed_ ? RefusalReason::kNoOwner
                                            : RefusalReason::kDuplicate,
                                    {}}});
    }
  }
  Deliver(deliveries);
}

bool OwnerService::Cancel(const RequestId& id) {
  const std::lock_guard lock(mutex_);
  if (!table_.Cancel(id)) {
    return false;
  }
  pending_.erase(id);
  return true;
}

std::optional<SlotToken> OwnerService::AcquireForProbe(UpstreamIndex upstream) {
  const std::lock_guard lock(mutex_);
  return table_.slots().AcquireAt(upstream, BootClock::now());
}

void OwnerService::Release(const SlotToken& token,
                           SlotUse use,
                           Duration latency) {
  Deliveries deliveries;
  {
    const std::lock_guard lock(mutex_);
    deliveries = Collect(table_.Release(token, use, latency, BootClock::now()));
  }
  Deliver(deliveries);
}

void OwnerService::HoldUntil(const SlotToken& token, Time until) {
  const std::lock_guard lock(mutex_);
  table_.slots().HoldUntil(token, until);
}

void OwnerService::AddSeat(SeatIndex seat, Time usable_from) {
  const std::lock_guard lock(mutex_);
  seats_.insert(seat);
  for (const UpstreamIndex index : UpstreamsOf(seat)) {
    const Upstream& upstream = settings_.deployment.At(index);
    table_.slots().Add(index, upstream.service, upstream.slots, usable_from);
  }
  UpdateLimit();
}

void OwnerService::RemoveSeat(SeatIndex seat) {
  Deliveries deliveries;
  {
    const std::lock_guard lock(mutex_);
    seats_.erase(seat);
    for (const UpstreamIndex index : UpstreamsOf(seat)) {
      table_.slots().Remove(index);
    }
    UpdateLimit();
    deliveries = Collect(table_.RefuseOrphans(BootClock::now()));
  }
  Deliver(deliveries);
}

void OwnerService::UpdateLimit() {
  const Deployment& deployment = settings_.deployment;
  const RegionIndex region = deployment.RegionOf(settings_.seat);
  if (deployment.At(region).max_in_flight == 0) {
    return;
  }
  int limit = 0;
  for (const SeatIndex seat : seats_) {
    limit += region_share_[seat.value];
  }
  table_.slots().SetTotalLimit(limit);
}

void OwnerService::CloseForNew() {
  const std::lock_guard lock(mutex_);
  closed_ = true;
}

bool OwnerService::IsIdle() const {
  const std::lock_guard lock(mutex_);
  return pending_.empty() && table_.slots().TotalInFlight() == 0;
}

int OwnerService::InFlightOfSeat(SeatIndex seat) const {
  const std::lock_guard lock(mutex_);
  int in_flight = 0;
  for (const UpstreamIndex index : UpstreamsOf(seat)) {
    in_flight += table_.slots().InFlight(index);
  }
  return in_flight;
}

void OwnerService::SetLeaving(UpstreamIndex upstream,
                              LeavingSource source,
                              bool leaving) {
  bool changed = false;
  Deliveries deliveries;
  {
    const std::lock_guard lock(mutex_);
    const bool before = table_.slots().IsLeaving(upstream);
    table_.slots().SetLeaving(upstream, source, leaving);
    changed = before != table_.slots().IsLeaving(upstream);
    deliveries = Collect(table_.RefuseOrphans(BootClock::now()));
  }
  if (changed) {
    events_.Record(
        leaving ? EventCode::kUpstreamLeaving : EventCode::kUpstreamUp,
        settings_.deployment.At(upstream).name,
        leaving ? "gets no new work" : "is no longer leaving");
  }
  Deliver(deliveries);
}

void OwnerService::SetHealthy(UpstreamIndex upstream, bool healthy) {
  bool changed = false;
  Deliveries deliveries;
  {
    const std::lock_guard lock(mutex_);
    changed = table_.slots().Owns(upstream) &&
              table_.slots().IsHealthy(upstream) != healthy;
    table_.slots().SetHealthy(upstream, healthy);
    deliveries = Collect(healthy ? table_.Dispatch(BootClock::now())
                                 : table_.RefuseOrphans(BootClock::now()));
  }
  if (changed) {
    events_.Record(healthy ? EventCode::kUpstreamUp : EventCode::kUpstreamDown,
                   settings_.deployment.At(upstream).name,
                   healthy ? "answers again; filled step by step"
                           : "does not answer; gets no new work");
  }
  Deliver(deliveries);
}

void OwnerService::Tick() {
  Deliveries deliveries;
  {
    const std::lock_guard lock(mutex_);
    deliveries = Collect(table_.Dispatch(BootClock::now()));
  }
  Deliver(deliveries);
}

PoolLoad OwnerService::Load(ServiceIndex service) const {
  const std::lock_guard lock(mutex_);
  if (closed_) {
    return {};
  }
  return table_.Load(service, BootClock::now());
}

std::vector<ServiceLoad> OwnerService::Loads() const {
  std::vector<ServiceLoad> loads;
  const std::lock_guard lock(mutex_);
  if (closed_) {
    return loads;
  }
  for (const ServiceIndex service :
       IndicesOf<ServiceIndex>(settings_.deployment.services)) {
    const PoolLoad load = table_.Load(service, BootClock::now());
    if (load.slots > 0) {
      loads.push_back(ToServiceLoad(service, load));
    }
  }
  return loads;
}

std::vector<OwnedUpstream> OwnerService::Owned() const {
  const std::lock_guard lock(mutex_);
  const SlotTable& slots = table_.slots();
  std::vector<OwnedUpstream> owned;
  for (const UpstreamIndex index : slots.Owned()) {
    owned.push_back({index, slots.InFlight(index), slots.IsLeaving(index),
                     slots.IsHealthy(index)});
  }
  return owned;
}

std::vector<UpstreamIndex> OwnerService::UpstreamsOf(SeatIndex seat) const {
  std::vector<UpstreamIndex> found;
  for (const UpstreamIndex index : IndicesOf<UpstreamIndex>(seat_of_)) {
    if (seat_of_[index.value] == seat) {
      found.push_back(index);
    }
  }
  return found;
}

SeatIndex OwnerService::SeatOf(UpstreamIndex upstream) const {
  return seat_of_[upstream.value];
}

OwnerService::Deliveries OwnerService::Collect(const OwnerActions& actions) {
  Deliveries deliveries;
  const auto take = [this, &deliveries](const RequestId& id,
                                        SlotDecision decision) {
    auto node = pending_.extract(id);
    if (!node.empty()) {
      deliveries.emplace_back(std::move(node.mapped()), decision);
    }
  };
  for (const SlotGrant& grant : actions.grants) {
    take(grant.id, grant.token);
  }
  for (const RefusedWork& refused : actions.refusals) {
    take(refused.id, refused.refusal);
  }
  return deliveries;
}

void OwnerService::Deliver(const Deliveries& deliveries) {
  for (const auto& [pending, decision] : deliveries) {
    RunIn(pending.context, [callback = pending.callback, decision = decision] {
      callback(decision);
    });
  }
}

}  // namespace pathcleat
