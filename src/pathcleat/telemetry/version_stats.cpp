// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/telemetry/version_stats.hpp"

namespace pathcleat {
namespace {

// Returns the entry of a name; once the table has max_size names, new names
// share one entry.
template <class Table>
typename Table::mapped_type& BoundedEntry(Table& table,
                                          const std::string& name,
                                          std::size_t max_size) {
  const auto found = table.find(name);
  if (found != table.end()) {
    return found->second;
  }
  return table[table.size() < max_size ? name : VersionStats::kOther];
}

}  // namespace

const char* ToString(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      return "answered";
    case AttemptOutcome::kFailed:
      return "failed";
    case AttemptOutcome::kNotRun:
      return "not-run";
    case AttemptOutcome::kUnknown:
      return "unknown";
    case AttemptOutcome::kWithdrawn:
      return "withdrawn";
  }
  return "";
}

VersionCounts& VersionStats::CountsOf(const std::string& service,
                                      const std::string& version) {
  return BoundedEntry(BoundedEntry(by_service_, service, kMaxServices), version,
                      kMaxVersions);
}

void VersionStats::OnSent(const std::string& service,
                          const std::string& version,
                          Time now) {
  VersionCounts& counts = CountsOf(service, version);
  ++counts.sent;
  counts.recent.Add(now);
}

void VersionStats::OnEnded(const std::string& service,
                           const std::string& version,
                           AttemptOutcome outcome,
                           Duration latency) {
  VersionCounts& counts = CountsOf(service, version);
  ++counts.outcomes.at(static_cast<std::size_t>(outcome));
  if (outcome == AttemptOutcome::kAnswered ||
      outcome == AttemptOutcome::kFailed) {
    counts.latency.Add(latency);
  }
}

}  // namespace pathcleat
