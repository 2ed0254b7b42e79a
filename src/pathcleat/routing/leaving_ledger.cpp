// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/leaving_ledger.hpp"

namespace pathcleat {
namespace {

// An answer without the statement revokes it only if its request was sent this
// long after it: the ages in reports between hosts are slightly inaccurate.
constexpr Duration kMinAgeToRevoke{1'000'000};
// An upstream that has been off the list for this long has ended.
constexpr Duration kStatementTtl = std::chrono::hours(1);

}  // namespace

bool LeavingLedger::Add(const std::string& id,
                        const LeavingStatement& statement) {
  const auto found = statements_.find(id);
  const bool is_known = found != statements_.end() &&
                        found->second.started_ms == statement.started_ms;
  if (!is_known) {
    const bool is_outdated = found != statements_.end() &&
                             found->second.started_ms > statement.started_ms;
    if (!statement.leaving || is_outdated) {
      return false;
    }
    statements_.insert_or_assign(id, statement);
    return true;
  }
  LeavingStatement& latest = found->second;
  const bool revokes = latest.leaving && !statement.leaving;
  const Duration min_age = revokes ? kMinAgeToRevoke : Duration::zero();
  if (statement.stated_at <= latest.stated_at + min_age) {
    return false;
  }
  const bool changes = latest.leaving != statement.leaving;
  latest = statement;
  return changes;
}

bool LeavingLedger::IsLeaving(const std::string& id,
                              std::uint64_t started_ms) const {
  const auto found = statements_.find(id);
  return found != statements_.end() && found->second.leaving &&
         found->second.started_ms == started_ms;
}

void LeavingLedger::DropExpired(
    const std::function<bool(const std::string&)>& is_listed,
    Time now) {
  std::erase_if(statements_, [&is_listed, now](const auto& entry) {
    return now - entry.second.stated_at > kStatementTtl &&
           !is_listed(entry.first);
  });
}

}  // namespace pathcleat
