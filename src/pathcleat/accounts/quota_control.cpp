// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/accounts/quota_control.hpp"

#include <algorithm>
#include <utility>

#include "pathcleat/core/hash.hpp"

namespace pathcleat {
namespace {

// A host tells of an account only if the fleet would be above this part of its
// limit were all hosts as busy with it: what hosts leave untold stays below it.
constexpr double kToldFrom = 0.1;

// The busiest accounts, as many as fit one report.
std::vector<UsageEntry> Busiest(
    const std::unordered_map<std::uint64_t, AccountUsage>& uses) {
  std::vector<UsageEntry> entries;
  entries.reserve(uses.size());
  for (const auto& [account, use] : uses) {
    entries.push_back({account, static_cast<float>(use.demand),
                       static_cast<float>(use.share_weight),
                       static_cast<float>(use.admitted)});
  }
  if (entries.size() > kMaxUsageEntries) {
    const auto most =
        entries.begin() + static_cast<std::ptrdiff_t>(kMaxUsageEntries);
    std::nth_element(entries.begin(), most, entries.end(),
                     [](const UsageEntry& a, const UsageEntry& b) {
                       return a.demand > b.demand;
                     });
    entries.erase(most, entries.end());
  }
  return entries;
}

}  // namespace

QuotaControl::QuotaControl(const std::string& domain,
                           const std::string& host,
                           std::uint64_t seed)
    : domain_(domain), host_(host), seed_(seed), fleet_(domain, host) {}

void QuotaControl::SetAccounts(const std::vector<Account>& accounts) {
  std::unordered_map<std::uint64_t, AccountLimit> limits;
  for (const Account& account : accounts) {
    if (account.limit.IsSet()) {
      limits.emplace(AccountId(account), account.limit);
    }
  }
  std::erase_if(meters_, [&limits](const auto& meter) {
    return !limits.contains(meter.first);
  });
  for (auto& [account, meter] : meters_) {
    if (meter.limit() != limits.at(account)) {
      meter.SetLimit(limits.at(account));
    }
  }
}

void QuotaControl::SetHosts(const QuotaHosts& sharers, Time now) {
  sharers_ = sharers;
  fleet_.ExpireSilentSources(sharers.sees_majority, now);
  std::erase_if(meters_,
                [now](const auto& meter) { return meter.second.IsIdle(now); });
}

bool QuotaControl::HasSilent(Time now) const {
  return sharers_.never_seen_count > 0 || fleet_.HasSilentSource(now);
}

QuotaInput QuotaControl::StateOf(std::uint64_t account, Time now) const {
  return {fleet_.UsageOf(account), sharers_.host_count,
          sharers_.never_seen_count, HasSilent(now)};
}

QuotaDecision QuotaControl::DecisionOf(const AccountLimiter& meter,
                                       const QuotaInput& state,
                                       Time now) const {
  QuotaDecision decision;
  decision.limit_per_second = meter.limit().per_second;
  decision.fleet_demand = state.other_usage.demand + meter.Demand(now);
  decision.share = meter.HostShare(state);
  decision.time_until_available = meter.TimeUntilAvailable(state, now);
  decision.mean_interval = meter.MeanInterval(state);
  return decision;
}

QuotaDecision QuotaControl::Admit(const Account& account, Time now) {
  if (!account.limit.IsSet()) {
    return {};
  }
  const std::uint64_t id = AccountId(account);
  AccountLimiter& meter =
      meters_.try_emplace(id, account.limit, bounds_, MixHashes(seed_, id))
          .first->second;
  const QuotaInput state = StateOf(id, now);
  const bool was_shared = meter.IsShareEnforced();
  const bool allowed = meter.TryAcquire(state, now);
  has_news_ = has_news_ || (meter.IsShareEnforced() && !was_shared);
  QuotaDecision decision;
  if (!allowed) {
    decision = DecisionOf(meter, state, now);
  }
  decision.allowed = allowed;
  return decision;
}

void QuotaControl::Release(const Account& account, Time now) {
  const auto meter = meters_.find(AccountId(account));
  if (meter != meters_.end()) {
    meter->second.Release(now);
  }
}

std::map<std::string, double> QuotaControl::DemandByHomeRegion(
    const std::vector<Account>& accounts,
    Time now) const {
  std::map<std::string, double> demand;
  for (const Account& account : accounts) {
    if (account.allowed_regions.empty() || !account.limit.IsSet()) {
      continue;
    }
    const QuotaDecision use = Explain(account, now);
    const double taken = std::min(use.fleet_demand, use.limit_per_second);
    for (const std::string& region : account.allowed_regions) {
      demand[region] +=
          taken / static_cast<double>(account.allowed_regions.size());
    }
  }
  return demand;
}

QuotaDecision QuotaControl::Explain(const Account& account, Time now) const {
  if (!account.limit.IsSet()) {
    return {};
  }
  const std::uint64_t id = AccountId(account);
  const QuotaInput state = StateOf(id, now);
  const auto known = meters_.find(id);
  return known == meters_.end()
             ? DecisionOf(AccountLimiter(account.limit, bounds_, seed_), state,
                          now)
             : DecisionOf(known->second, state, now);
}

UsageReport QuotaControl::OwnUsage(Time now) {
  const bool has_silent = HasSilent(now);
  has_news_ = false;
  told_.clear();
  for (auto& [account, meter] : meters_) {
    const AccountUsage use = meter.ReportUsage(has_silent, now);
    if (use.demand * sharers_.host_count >
        kToldFrom * meter.limit().per_second) {
      told_.emplace(account, use);
    }
  }
  UsageReport report;
  report.domain = domain_;
  report.host = host_;
  report.entries = Busiest(told_);
  return report;
}

UsageReport QuotaControl::DomainUsage(Time /*now*/) {
  std::unordered_map<std::uint64_t, AccountUsage> sums =
      fleet_.OwnDomainUsage();
  for (const auto& [account, use] : told_) {
    AccountUsage& sum = sums[account];
    sum.demand += use.demand;
    sum.share_weight += use.share_weight;
    sum.admitted += use.admitted;
  }
  UsageReport report;
  report.domain = domain_;
  report.forward_to_domain = true;
  report.entries = Busiest(sums);
  return report;
}

std::vector<UsageReport> QuotaControl::UsageSnapshot() const {
  return fleet_.OtherDomainReports();
}

void QuotaControl::OnUsageReport(const UsageReport& report, Time now) {
  fleet_.OnReport(report, now);
}

}  // namespace pathcleat
