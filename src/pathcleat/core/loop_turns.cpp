// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/loop_turns.hpp"

#include <algorithm>

namespace pathcleat {

const char* ToString(LoopTask task) {
  switch (task) {
    case LoopTask::kRequest:
      return "request";
    case LoopTask::kUpstreamAnswer:
      return "upstream_answer";
    case LoopTask::kConfig:
      return "config";
    case LoopTask::kUpstreamList:
      return "upstream_list";
    case LoopTask::kTick:
      return "tick";
  }
  return "";
}

void LoopTurns::Add(LoopTask task, Duration duration) {
  turns_.at(IndexOf(task)).Add(duration);
  Duration& longest = longest_.at(IndexOf(task));
  longest = std::max(longest, duration);
  if (duration >= kSlowTurn && on_slow_) {
    on_slow_(task, duration);
  }
}

}  // namespace pathcleat
