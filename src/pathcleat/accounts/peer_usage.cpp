// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/accounts/peer_usage.hpp"

#include <algorithm>
#include <utility>

namespace pathcleat {
namespace {

// Time without a report after which a source counts as silent. Reports are sent
// twice a second. The value is equal to the time for which a host counts as
// alive without a heartbeat.
constexpr Duration kSilenceTimeout{2'500'000};
// Time after which the share of a silent source may be used by other hosts. It
// is longer than network cuts of a few seconds and than the restart of a killed
// process, as the source may still use its share until then.
constexpr Duration kSilentSourceTtl{10'000'000};
// Rounding error that may remain in a sum after its parts were subtracted, in
// requests a second.
constexpr double kNegligibleDemand = 1e-3;

}  // namespace

void PeerUsage::OnReport(const UsageReport& report, Time now) {
  const bool own = report.domain == own_domain_;
  if (own && (report.host.empty() || report.host == own_host_)) {
    return;
  }
  const SourceName name{report.domain, own ? report.host : std::string()};
  Source& source = sources_[name];
  // The parts of one report have the same time.
  if (report.time < source.report.time) {
    return;
  }
  AddToSums(source.report, -1);
  std::vector<UsageEntry> entries = report.entries;
  for (const UsageEntry& entry : source.report.entries) {
    if (!report.Covers(entry.account_id)) {
      entries.push_back(entry);
    }
  }
  source = {report, now};
  source.report.entries = std::move(entries);
  source.report.part = 0;
  source.report.part_count = 1;
  AddToSums(source.report, 1);
}

void PeerUsage::AddToSums(const UsageReport& report, double sign) {
  for (const UsageEntry& entry : report.entries) {
    AccountUsage& sum = sums_[entry.account_id];
    sum.demand += sign * entry.demand;
    sum.share_weight += sign * entry.share_weight;
    sum.admitted += sign * entry.admitted;
    if (sum.demand < kNegligibleDemand) {
      sums_.erase(entry.account_id);
    }
  }
}

AccountUsage PeerUsage::UsageOf(std::uint64_t account) const {
  const auto found = sums_.find(account);
  return found == sums_.end() ? AccountUsage() : found->second;
}

double PeerUsage::HeardDemandOf(std::uint64_t account, Time now) const {
  double demand = 0;
  for (const auto& [name, source] : sources_) {
    if (IsSilent(source, now)) {
      continue;
    }
    for (const UsageEntry& entry : source.report.entries) {
      demand += entry.account_id == account ? entry.demand : 0;
    }
  }
  return demand;
}

bool PeerUsage::IsSilent(const Source& source, Time now) const {
  return now - source.received_at > kSilenceTimeout &&
         !source.report.entries.empty();
}

bool PeerUsage::HasSilentSource(Time now) const {
  return std::any_of(
      sources_.begin(), sources_.end(),
      [this, now](const auto& s) { return IsSilent(s.second, now); });
}

bool PeerUsage::HasSilentDomain(Time now) const {
  return std::any_of(
      sources_.begin(), sources_.end(), [this, now](const auto& s) {
        return s.first.first != own_domain_ && IsSilent(s.second, now);
      });
}

bool PeerUsage::HasSourceThatLacksDomain(Time now) const {
  return std::any_of(sources_.begin(), sources_.end(), [now](const auto& s) {
    return s.second.report.lacks_domain &&
           now - s.second.received_at <= kSilenceTimeout;
  });
}

bool PeerUsage::HasNeighborThatLacksDomain(Time now) const {
  return std::any_of(
      sources_.begin(), sources_.end(), [this, now](const auto& s) {
        return s.first.first == own_domain_ && s.second.report.lacks_domain &&
               now - s.second.received_at <= kSilenceTimeout;
      });
}

void PeerUsage::ExpireSilentSources(bool sees_majority, Time now) {
  if (!sees_majority) {
    return;
  }
  for (auto source = sources_.begin(); source != sources_.end();) {
    if (now - source->second.received_at > kSilentSourceTtl) {
      AddToSums(source->second.report, -1);
      source = sources_.erase(source);
    } else {
      ++source;
    }
  }
}

void PeerUsage::RemoveHost(const std::string& host) {
  const auto source = sources_.find({own_domain_, host});
  if (source != sources_.end()) {
    AddToSums(source->second.report, -1);
    sources_.erase(source);
  }
}

std::unordered_map<std::uint64_t, AccountUsage> PeerUsage::OwnDomainUsage()
    const {
  std::unordered_map<std::uint64_t, AccountUsage> sums;
  for (const auto& [name, source] : sources_) {
    if (name.first != own_domain_) {
      continue;
    }
    for (const UsageEntry& entry : source.report.entries) {
      AccountUsage& sum = sums[entry.account_id];
      sum.demand += entry.demand;
      sum.share_weight += entry.share_weight;
      sum.admitted += entry.admitted;
    }
  }
  return sums;
}

std::vector<UsageReport> PeerUsage::OtherDomainReports() const {
  std::vector<UsageReport> reports;
  for (const auto& [name, source] : sources_) {
    if (name.first != own_domain_) {
      reports.push_back(source.report);
    }
  }
  return reports;
}

}  // namespace pathcleat
