// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Runs callbacks in order of their virtual time, and in the order in
/// which they were scheduled where the times are equal.
/// @ingroup lab
class VirtualScheduler {
 public:
  Time now() const { return now_; }

  void ScheduleAt(Time time, std::function<void()> callback) {
    entries_.push({time, next_number_++, std::move(callback)});
  }
  void ScheduleAfter(Duration delay, std::function<void()> callback) {
    ScheduleAt(now_ + delay, std::move(callback));
  }
  void Run() {
    while (!entries_.empty()) {
      const Entry entry = entries_.top();
      entries_.pop();
      now_ = entry.time;
      entry.run();
    }
  }

 private:
  struct Entry {
    Time time;
    std::uint64_t number;
    std::function<void()> run;
    bool operator<(const Entry& other) const {
      return time != other.time ? time > other.time : number > other.number;
    }
  };
  std::priority_queue<Entry> entries_;
  Time now_{Duration(1'000'000)};
  std::uint64_t next_number_ = 0;
};

}  // namespace pathcleat
