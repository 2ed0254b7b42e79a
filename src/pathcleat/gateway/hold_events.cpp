// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/hold_events.hpp"

namespace pathcleat {

void RecordHoldChanges(EventLog& events,
                       const RolloutStates& before,
                       const RolloutStates& after) {
  for (const auto& [service, state] : after) {
    const auto found = before.find(service);
    const bool was_held = found != before.end() && found->second.IsHeld();
    if (was_held != state.IsHeld()) {
      events.Record(
          state.IsHeld() ? EventCode::kRolloutHeld : EventCode::kRolloutResumed,
          service, "",
          {{field::kVersion, state.version},
           {field::kPhase, ToString(state.phase)},
           IntegerField(field::kOrder, state.order_id)});
    }
  }
}

}  // namespace pathcleat
