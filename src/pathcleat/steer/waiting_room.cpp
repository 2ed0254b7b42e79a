// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/waiting_room.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace pathcleat {

bool WaitingRoom::Before::operator()(const Entry& a, const Entry& b) const {
  if (order == Order::kArrival) {
    return a.arrival < b.arrival;
  }
  return std::tie(a.item.priority, a.item.deadline, a.arrival) <
         std::tie(b.item.priority, b.item.deadline, b.arrival);
}

WaitingRoom::WaitingRoom(std::size_t capacity, Order order)
    : capacity_(capacity), items_(Before{order}) {}

std::optional<WorkItem> WaitingRoom::Push(const WorkItem& item) {
  const auto added = items_.insert(Entry{item, next_arrival_++}).first;
  by_id_.emplace(item.id, added);
  if (items_.size() <= capacity_) {
    return std::nullopt;
  }
  return Take(std::prev(items_.end()));
}

std::optional<WorkItem> WaitingRoom::Pop() {
  if (items_.empty()) {
    return std::nullopt;
  }
  return Take(items_.begin());
}

bool WaitingRoom::Remove(const RequestId& id) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) {
    return false;
  }
  Take(found->second);
  return true;
}

std::vector<WorkItem> WaitingRoom::RemoveDueBefore(Time time) {
  std::vector<WorkItem> removed;
  for (auto entry = items_.begin(); entry != items_.end();) {
    const auto current = entry++;
    if (current->item.deadline < time) {
      removed.push_back(Take(current));
    }
  }
  return removed;
}

std::vector<WorkItem> WaitingRoom::Clear() {
  std::vector<WorkItem> removed;
  while (!items_.empty()) {
    removed.push_back(Take(items_.begin()));
  }
  return removed;
}

std::size_t WaitingRoom::CountAhead(const WorkItem& item) const {
  const Entry probe{item, next_arrival_};
  const auto ahead = items_.lower_bound(probe);
  return static_cast<std::size_t>(std::distance(items_.begin(), ahead));
}

WorkItem WaitingRoom::Take(Entries::iterator entry) {
  WorkItem item = entry->item;
  by_id_.erase(item.id);
  items_.erase(entry);
  return item;
}

}  // namespace pathcleat
