// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/accounts/quota_control.hpp"

#include <algorithm>
#include <utility>

#include "pathcleat/core/hash.hpp"

namespace pathcleat {
namespace {

// A host reports an account only if its own demand, multiplied by the number of
// hosts, exceeds this part of the account's limit. So the demand that hosts do
// not report adds up to at most this part of the limit.
constexpr double kMinReportedRatio = 0.1;

// Returns the entries with the highest demand, at most
// kMaxReportedAccounts.
std::vector<UsageEntry> TopEntries(
    const std::unordered_map<std::uint64_t, AccountUsage>& usages) {
  std::vector<UsageEntry> entries;
  entries.reserve(usages.size());
  for (const auto& [account, usage] : usages) {
    entries.push_back({account, static_cast<float>(usage.demand),
                       static_cast<float>(usage.share_weight),
                       static_cast<float>(usage.admitted)});
  }
  if (entries.size() > kMaxReportedAccounts) {
    const auto end =
        entries.begin() + static_cast<std::ptrdiff_t>(kMaxReportedAccounts);
    std::nth_element(entries.begin(), end, entries.end(),
                     [](const UsageEntry& a, const UsageEntry& b) {
                       return a.demand > b.demand;
                     });
    entries.erase(end, entries.end());
  }
  return entries;
}

}  // namespace

QuotaControl::QuotaControl(const std::string& domain,
                           const std::string& host,
                           std::uint64_t seed)
    : domain_(domain), host_(host), seed_(seed), peer_usage_(domain, host) {}

void QuotaControl::SetAccounts(const std::vector<Account>& accounts) {
  std::unordered_map<std::uint64_t, AccountLimit> limits;
  for (const Account& account : accounts) {
    if (account.limit.IsSet()) {
      limits.emplace(AccountId(account), account.limit);
    }
  }
  std::erase_if(limiters_, [&limits](const auto& limiter) {
    return !limits.contains(limiter.first);
  });
  for (auto& [account, limiter] : limiters_) {
    if (limiter.limit() != limits.at(account)) {
      limiter.SetLimit(limits.at(account));
    }
  }
}

void QuotaControl::SetHosts(const QuotaHosts& hosts, Time now) {
  hosts_ = hosts;
  peer_usage_.ExpireSilentSources(hosts.sees_majority, now);
  std::erase_if(limiters_, [now](const auto& limiter) {
    return limiter.second.IsIdle(now);
  });
}

// A link may pass reports in one direction only. Then the hosts of one side
// receive all reports, while those of the other side keep their last shares.
// The first must keep their shares as well, or the shares add up to more than
// one: in the model, 1.02 of what a window may have.
bool QuotaControl::HasSilentHost(Time now) const {
  return hosts_.never_seen_count > 0 || peer_usage_.HasSilentSource(now) ||
         peer_usage_.HasSourceThatLacksDomain(now);
}

QuotaInput QuotaControl::StateOf(std::uint64_t account, Time now) const {
  QuotaInput state;
  state.other_usage = peer_usage_.UsageOf(account);
  state.host_count = hosts_.host_count;
  state.never_seen_count = hosts_.never_seen_count;
  state.has_silent_host = HasSilentHost(now);
  state.alive_count = hosts_.alive_count;
  if (state.has_silent_host) {
    state.heard_demand = peer_usage_.HeardDemandOf(account, now);
  }
  return state;
}

QuotaDecision QuotaControl::DecisionOf(const AccountLimiter& limiter,
                                       const QuotaInput& state,
                                       Time now) const {
  QuotaDecision decision;
  decision.limit_per_second = limiter.limit().per_second;
  decision.fleet_demand = state.other_usage.demand + limiter.Demand(now);
  decision.share = limiter.HostShare(state);
  decision.time_until_available = limiter.TimeUntilAvailable(state, now);
  decision.mean_interval = limiter.MeanInterval(state);
  return decision;
}

QuotaDecision QuotaControl::Admit(const Account& account, Time now) {
  if (!account.limit.IsSet()) {
    return {};
  }
  const std::uint64_t id = AccountId(account);
  AccountLimiter& limiter =
      limiters_.try_emplace(id, account.limit, bounds_, MixHashes(seed_, id))
          .first->second;
  const QuotaInput state = StateOf(id, now);
  const bool was_enforced = limiter.IsShareEnforced();
  const bool allowed = limiter.TryAcquire(state, now);
  has_updates_ = has_updates_ || (limiter.IsShareEnforced() && !was_enforced);
  QuotaDecision decision;
  if (!allowed) {
    decision = DecisionOf(limiter, state, now);
  }
  decision.allowed = allowed;
  return decision;
}

void QuotaControl::Release(const Account& account, Time now) {
  const auto limiter = limiters_.find(AccountId(account));
  if (limiter != limiters_.end()) {
    limiter->second.Release(now);
  }
}

std::map<std::string, double> QuotaControl::DemandByAllowedRegion(
    const std::vector<Account>& accounts,
    Time now) const {
  std::map<std::string, double> demand;
  for (const Account& account : accounts) {
    if (account.allowed_regions.empty() || !account.limit.IsSet()) {
      continue;
    }
    const QuotaDecision decision = Explain(account, now);
    const double admitted =
        std::min(decision.fleet_demand, decision.limit_per_second);
    for (const std::string& region : account.allowed_regions) {
      demand[region] +=
          admitted / static_cast<double>(account.allowed_regions.size());
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
  const auto found = limiters_.find(id);
  return found == limiters_.end()
             ? DecisionOf(AccountLimiter(account.limit, bounds_, seed_), state,
                          now)
             : DecisionOf(found->second, state, now);
}

UsageReport QuotaControl::OwnUsage(Time now) {
  const bool has_silent_host = HasSilentHost(now);
  has_updates_ = false;
  reported_.clear();
  for (auto& [account, limiter] : limiters_) {
    const AccountUsage usage = limiter.ReportUsage(has_silent_host, now);
    if (usage.demand * hosts_.host_count >
        kMinReportedRatio * limiter.limit().per_second) {
      reported_.emplace(account, usage);
    }
  }
  UsageReport report;
  report.domain = domain_;
  report.host = host_;
  report.lacks_domain = peer_usage_.HasSilentDomain(now);
  report.entries = TopEntries(reported_);
  return report;
}

UsageReport QuotaControl::DomainUsage(Time now) {
  std::unordered_map<std::uint64_t, AccountUsage> sums =
      peer_usage_.OwnDomainUsage();
  for (const auto& [account, usage] : reported_) {
    AccountUsage& sum = sums[account];
    sum.demand += usage.demand;
    sum.share_weight += usage.share_weight;
    sum.admitted += usage.admitted;
  }
  UsageReport report;
  report.domain = domain_;
  report.forward_to_domain = true;
  report.lacks_domain = peer_usage_.HasSilentDomain(now) ||
                        peer_usage_.HasNeighborThatLacksDomain(now);
  report.entries = TopEntries(sums);
  return report;
}

std::vector<UsageReport> QuotaControl::UsageSnapshot() const {
  return peer_usage_.OtherDomainReports();
}

void QuotaControl::OnUsageReport(const UsageReport& report, Time now) {
  peer_usage_.OnReport(report, now);
}

}  // namespace pathcleat
