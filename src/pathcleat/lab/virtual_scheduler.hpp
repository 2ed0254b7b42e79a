// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Runs steps in order of their virtual time.
/// @ingroup lab
class VirtualScheduler {
 public:
  Time now() const { return now_; }

  void ScheduleAt(Time time, std::function<void()> step) {
    steps_.push({time, next_++, std::move(step)});
  }
  void ScheduleAfter(Duration wait, std::function<void()> step) {
    ScheduleAt(now_ + wait, std::move(step));
  }
  void Run() {
    while (!steps_.empty()) {
      const Step step = steps_.top();
      steps_.pop();
      now_ = step.time;
      step.run();
    }
  }

 private:
  struct Step {
    Time time;
    std::uint64_t number;
    std::function<void()> run;
    bool operator<(const Step& other) const {
      return time != other.time ? time > other.time : number > other.number;
    }
  };
  std::priority_queue<Step> steps_;
  Time now_{Duration(1'000'000)};
  std::uint64_t next_ = 0;
};

}  // namespace pathcleat
