// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "pathcleat/steer/work_item.hpp"

namespace pathcleat {

/// @brief Bounded queue of work for one service, by priority and then by
/// deadline. When it is full, better work displaces the worst that waits.
/// Not thread-safe.
/// @ingroup steer
class WaitingRoom {
 public:
  /// @brief How waiting work is ordered.
  enum class Order {
    kDeadline,  ///< priority, then earliest deadline
    kArrival,   ///< first come, first served: the baseline of measurements
  };

  explicit WaitingRoom(std::size_t capacity, Order order = Order::kDeadline);

  /// @brief Adds an item.
  /// @return the item that had to go, which can be the one just added.
  std::optional<WorkItem> Push(const WorkItem& item);

  /// @brief Takes the item that is due next.
  std::optional<WorkItem> Pop();

  /// @brief Takes an item out, if it waits.
  bool Remove(const RequestId& id);

  /// @brief Takes out all whose deadline is before the given time.
  std::vector<WorkItem> RemoveDueBefore(Time time);

  /// @brief Takes out everything.
  std::vector<WorkItem> Clear();

  /// @brief Number of items that would be served before this one.
  std::size_t CountAhead(const WorkItem& item) const;

  std::size_t size() const { return items_.size(); }
  bool empty() const { return items_.empty(); }

 private:
  struct Entry {
    WorkItem item;
    std::uint64_t arrival = 0;
  };
  struct Before {
    Order order;
    bool operator()(const Entry& a, const Entry& b) const;
  };
  using Entries = std::set<Entry, Before>;

  WorkItem Take(Entries::iterator entry);

  std::size_t capacity_;
  Entries items_;
  std::unordered_map<RequestId, Entries::iterator, RequestIdHash> by_id_;
  std::uint64_t next_arrival_ = 0;
};

}  // namespace pathcleat
