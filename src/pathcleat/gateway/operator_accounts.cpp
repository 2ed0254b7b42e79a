// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Answers to operators' queries about client accounts.

#include <iomanip>
#include <sstream>

#include "pathcleat/gateway/operator_service.hpp"

namespace pathcleat {
namespace {

std::string LimitText(const AccountLimit& limit) {
  std::ostringstream text;
  if (!limit.IsSet()) {
    return "no limit";
  }
  text << limit.per_second << " requests a second and " << limit.burst
       << " at once";
  return text.str();
}

std::string UsageText(const QuotaDecision& usage) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(1) << usage.fleet_demand
       << " a second come to the fleet, as told within the last second; part "
          "of this host "
       << std::setprecision(3) << usage.share;
  return text.str();
}

// The tenth of the accounts with the lowest share of served requests.
std::string LeastServedText(const AccountStats& stats) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(3);
  for (const auto& [name, counts] : stats.LeastServed()) {
    text << "least served: " << name << " " << counts.ServedShare() << " of "
         << counts.accepted + counts.over_limit << " requests here, "
         << counts.over_limit << " refused beyond the limit, " << counts.not_run
         << " refused for other reasons\n";
  }
  return text.str();
}

}  // namespace

std::string OperatorService::ShowAccounts() const {
  const Time now = BootClock::now();
  std::ostringstream text;
  for (const Account& account : state_.accounts.All()) {
    text << account.name << ": " << LimitText(account.limit);
    if (account.limit.IsSet()) {
      text << ", " << UsageText(state_.quotas.control().Explain(account, now));
    }
    const AccountCounts counts = state_.account_stats.CountsOf(account.name);
    text << ", taken here " << counts.accepted << ", refused "
         << counts.over_limit << "\n";
  }
  const std::string accounts = text.str();
  return accounts.empty() ? "no client accounts: callers need no keys\n"
                          : accounts + LeastServedText(state_.account_stats);
}

std::string OperatorService::Answer(const AccountQuery& query) const {
  const Account* account = state_.accounts.FindByName(query.name);
  if (account == nullptr) {
    return "no account is called '" + query.name + "' in version " +
           std::to_string(state_.routes.version()) + "\n";
  }
  std::ostringstream text;
  text << account->name << ", by version " << state_.routes.version() << "\n"
       << "limit: " << LimitText(account->limit) << "\n";
  if (account->limit.IsSet()) {
    const QuotaDecision usage =
        state_.quotas.control().Explain(*account, BootClock::now());
    text << "use: " << UsageText(usage) << "; next in "
         << static_cast<int>(ToMilliseconds(usage.time_until_available))
         << " ms\n";
  }
  const AccountCounts counts = state_.account_stats.CountsOf(account->name);
  text << "here: taken " << counts.accepted << ", refused beyond the limit "
       << counts.over_limit << "\n";
  if (account->priority) {
    text << "priority: " << *account->priority << "\n";
  }
  for (const std::string& region : account->allowed_regions) {
    text << "home: " << region << "\n";
  }
  for (const KeyedDigest& key : account->key_digests) {
    text << "key: digest " << ShortHex(key) << "...\n";
  }
  return text.str();
}

}  // namespace pathcleat
