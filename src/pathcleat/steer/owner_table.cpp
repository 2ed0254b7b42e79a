// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/owner_table.hpp"

#include <algorithm>
#include <numeric>

namespace pathcleat {
namespace {

// Ids remembered against repeats: more than can be in flight within the
// longest deadline at the busiest owner of the capacity page.
constexpr std::size_t kRememberedIds = 65'536;
constexpr Duration kShortestRetryAfter{100'000};
// Weight of one grant in the shares taken by priority.
constexpr double kTakenGain = 0.02;
// A priority is never reckoned to get less than this share of the slots.
constexpr double kLeastShareLeft = 0.02;

}  // namespace

OwnerTable::OwnerTable(const OwnerOptions& options) : options_(options) {}

WaitingRoom& OwnerTable::RoomOf(ServiceIndex service) {
  return rooms_.try_emplace(service, options_.max_waiting, options_.order)
      .first->second;
}

bool OwnerTable::IsRepeat(const RequestId& id) {
  if (!seen_.insert(id).second) {
    return true;
  }
  seen_order_.push_back(id);
  if (seen_order_.size() > kRememberedIds) {
    seen_.erase(seen_order_.front());
    seen_order_.pop_front();
  }
  return false;
}

OwnerActions OwnerTable::Submit(const WorkItem& item, Time now) {
  OwnerActions actions;
  if (IsRepeat(item.id)) {
    Refuse(actions, item, RefusalReason::kDuplicate, now);
    return actions;
  }
  if (slots_.UsableInstances(item.service, now) == 0) {
    Refuse(actions, item, RefusalReason::kNoCapacity, now);
    return actions;
  }
  if (options_.refuse_late && WouldBeLate(item, now)) {
    Refuse(actions, item, RefusalReason::kTooLate, now);
    return actions;
  }
  if (const auto displaced = RoomOf(item.service).Push(item)) {
    Refuse(actions, *displaced, RefusalReason::kWaitingFull, now);
  }
  StartWaiting(actions, now);
  return actions;
}

bool OwnerTable::Cancel(const RequestId& id) {
  return std::any_of(rooms_.begin(), rooms_.end(),
                     [&id](auto& entry) { return entry.second.Remove(id); });
}

OwnerActions OwnerTable::Release(const SlotToken& token,
                                 SlotUse use,
                                 Duration latency,
                                 Time now) {
  slots_.Release(token, use, latency);
  OwnerActions actions;
  StartWaiting(actions, now);
  return actions;
}

OwnerActions OwnerTable::Dispatch(Time now) {
  OwnerActions actions;
  slots_.Expire(now);
  for (auto& [service, room] : rooms_) {
    const Duration needed = options_.refuse_late
                                ? slots_.Summary(service, now).latency
                                : Duration::zero();
    for (const WorkItem& item : room.RemoveDueBefore(now + needed)) {
      Refuse(actions, item, RefusalReason::kTooLate, now);
    }
  }
  StartWaiting(actions, now);
  return actions;
}

OwnerActions OwnerTable::RefuseOrphans(Time now) {
  OwnerActions actions;
  for (auto& [service, room] : rooms_) {
    if (slots_.UsableInstances(service, now) > 0) {
      continue;
    }
    for (const WorkItem& item : room.Clear()) {
      Refuse(actions, item, RefusalReason::kNoOwner, now);
    }
  }
  return actions;
}

PoolLoad OwnerTable::Load(ServiceIndex service, Time now) const {
  const SlotSummary summary = slots_.Summary(service, now);
  PoolLoad load{summary.slots, summary.free, 0, summary.latency};
  const auto room = rooms_.find(service);
  if (room != rooms_.end()) {
    load.waiting = static_cast<int>(room->second.size());
  }
  return load;
}

// Better work that comes later is served first too: what is left for this
// priority is what better ones have not been taking.
double OwnerTable::ShareLeftFor(const WorkItem& item) const {
  const auto found = taken_.find(item.service);
  if (found == taken_.end()) {
    return 1;
  }
  const auto better = static_cast<std::ptrdiff_t>(item.priority);
  const auto& taken = found->second;
  const double by_better =
      std::accumulate(taken.begin(), taken.begin() + better, 0.0);
  return std::max(kLeastShareLeft, 1 - by_better);
}

void OwnerTable::CountGrant(const WorkItem& item, bool contended) {
  auto& taken = taken_[item.service];
  for (double& share : taken) {
    share *= 1 - kTakenGain;
  }
  if (contended) {
    taken[static_cast<std::size_t>(item.priority)] += kTakenGain;
  }
}

Duration OwnerTable::ExpectedWait(const WorkItem& item,
                                  std::size_t ahead,
                                  Time now) const {
  const SlotSummary summary = slots_.Summary(item.service, now);
  if (summary.free > static_cast<int>(ahead)) {
    return Duration::zero();
  }
  const double turns = static_cast<double>(ahead + 1) /
                       std::max(1, summary.slots) / ShareLeftFor(item);
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(summary.latency.count()) * turns));
}

bool OwnerTable::WouldBeLate(const WorkItem& item, Time now) {
  const WaitingRoom& room = RoomOf(item.service);
  const Duration wait = ExpectedWait(item, room.CountAhead(item), now);
  const Duration run = slots_.Summary(item.service, now).latency;
  return now + wait + run > item.deadline;
}

void OwnerTable::Refuse(OwnerActions& actions,
                        const WorkItem& item,
                        RefusalReason reason,
                        Time now) {
  const auto room = rooms_.find(item.service);
  const std::size_t ahead = room == rooms_.end() ? 0 : room->second.size();
  const Duration wait = ExpectedWait(item, ahead, now);
  actions.refusals.push_back(
      {item.id, {reason, std::max(wait, kShortestRetryAfter)}});
}

void OwnerTable::StartWaiting(OwnerActions& actions, Time now) {
  for (auto& [service, room] : rooms_) {
    while (!room.empty()) {
      const auto token = slots_.Acquire(service, now);
      if (!token) {
        break;
      }
      const bool contended = room.size() > 1;
      const WorkItem item = *room.Pop();
      CountGrant(item, contended);
      actions.grants.push_back({item.id, *token});
    }
  }
}

}  // namespace pathcleat
