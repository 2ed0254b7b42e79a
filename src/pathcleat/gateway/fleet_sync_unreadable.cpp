// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Rows of the store that cannot be decoded.

#include <string>

#include "pathcleat/gateway/fleet_sync.hpp"

namespace pathcleat {

// A row without a readable key is no upstream's: it changes nothing.
void FleetSync::OnUnreadableUpstream(const UnreadableRow& row,
                                     std::uint64_t version,
                                     Time now) {
  RecordUnreadable(SourceTopic::kUpstreams, row);
  if (!row.key.empty()) {
    upstream_journal_.Append(version, row.key);
    OnUpstreamRemoved(row.key, false, now);
  }
}

void FleetSync::RecordUnreadable(SourceTopic topic, const UnreadableRow& row) {
  if (unreadable_rows_.IsNew(topic, row)) {
    state_.events.Record(EventCode::kSettingsFault,
                         row.key.empty() ? "row" : row.key,
                         std::string(ToString(topic)) + ": " + row.reason);
  }
}

}  // namespace pathcleat
