// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/statement_exchange.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace pathcleat {
namespace {

// Each observation is reported in four rounds of heartbeats, as datagrams may
// be lost.
constexpr Duration kReportWindow{2'000'000};
// A report takes less than this time to arrive. The receiver adds this time to
// the age of each entry: hosts that forward an observation to each other would
// otherwise make it look newer each time and keep reporting it.
constexpr Duration kMaxTransitTime{100'000};

std::uint32_t AgeMs(Time at, Time now) {
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, age));
}

// Visits the entries of a map in turn, beginning after `last`, until `visit`
// returns false. Entries that do not fit in a report come first in the next
// one.
template <class Map, class Visit>
void VisitFrom(const Map& entries, const std::string& last, Visit visit) {
  auto next = entries.upper_bound(last);
  for (std::size_t i = 0; i < entries.size(); ++i, ++next) {
    if (next == entries.end()) {
      next = entries.begin();
    }
    if (!visit(*next)) {
      return;
    }
  }
}

template <class Filter, class Statement>
bool IsSelected(const Filter& filter, const Statement& statement) {
  return (filter.host.empty() || statement.host == filter.host) &&
         (filter.domain.empty() || statement.domain == filter.domain);
}

}  // namespace

StatementExchange::StatementExchange(UpstreamTable& table,
                                     std::string host,
                                     std::string domain)
    : table_(table), host_(std::move(host)), domain_(std::move(domain)) {}

void StatementExchange::OnLimitReported(const UpstreamPtr& upstream,
                                        double per_second,
                                        Time now) {
  ApplyOwn(upstream, {per_second, now, host_, domain_}, now);
}

void StatementExchange::OnNoLimitReported(const UpstreamPtr& upstream,
                                          Time sent,
                                          Time now) {
  if (upstream->limit.observation() &&
      upstream->limit.observation()->per_second) {
    ApplyOwn(upstream, {std::nullopt, sent, host_, domain_}, now);
  }
}

void StatementExchange::ApplyOwn(const UpstreamPtr& upstream,
                                 const LimitObservation& observation,
                                 Time now) {
  const LimitChange change = Apply(upstream, observation, now);
  if (change != LimitChange::kNone && on_update_) {
    on_update_();
  }
}

LimitChange StatementExchange::Apply(const UpstreamPtr& upstream,
                                     const LimitObservation& observation,
                                     Time now) {
  const LimitChange change = table_.UpdateLimit(upstream, observation, now);
  const LimitObservation* newest = upstream->limit.observation();
  if (newest != nullptr && newest->observed_at == observation.observed_at) {
    recently_observed_[upstream->info.id] = upstream;
  }
  RecordChange(upstream, change);
  return change;
}

void StatementExchange::RecordChange(const UpstreamPtr& upstream,
                                     LimitChange change) {
  if (change == LimitChange::kNone) {
    return;
  }
  if (change == LimitChange::kEnded) {
    limited_upstreams_.erase(upstream->info.id);
  } else {
    limited_upstreams_[upstream->info.id] = upstream;
  }
  if (on_change_) {
    on_change_(*upstream, change);
  }
}

void StatementExchange::Tick(Time now) {
  std::vector<UpstreamPtr> expired;
  std::erase_if(limited_upstreams_, [&expired, now](const auto& entry) {
    const bool ended =
        entry.second->removed || !entry.second->limit.IsInForce(now);
    if (ended && !entry.second->removed) {
      expired.push_back(entry.second);
    }
    return ended;
  });
  for (const UpstreamPtr& upstream : expired) {
    RecordChange(upstream, LimitChange::kEnded);
  }
}

void StatementExchange::OnLeavingReported(const UpstreamPtr& upstream,
                                          bool leaving,
                                          Time sent,
                                          Time now) {
  const LeavingStatement statement{upstream->info.started_ms, leaving,
                                   leaving ? now : sent, host_, domain_};
  if (ApplyLeaving(upstream->info.id, statement) && on_update_) {
    on_update_();
  }
}

bool StatementExchange::ApplyLeaving(const std::string& upstream_id,
                                     const LeavingStatement& statement) {
  const bool changed = table_.UpdateLeaving(upstream_id, statement);
  if (changed && on_leaving_change_) {
    on_leaving_change_(*table_.Find(upstream_id), statement);
  }
  return changed;
}

StatementReport StatementExchange::MakeReport(bool forward_to_domain,
                                              const ReportFilter& filter,
                                              Time now) {
  StatementReport report{domain_, host_, forward_to_domain, {}, {}};
  AddLeaving(report, filter, now);
  AddLimits(report, filter, now);
  return report;
}

void StatementExchange::AddLimits(StatementReport& report,
                                  const ReportFilter& filter,
                                  Time now) {
  const std::size_t max_entries =
      report.leaving.empty() ? kMaxLimitEntries : kMaxLimitEntriesWithLeaving;
  const Upstreams& upstreams =
      filter.recent ? recently_observed_ : limited_upstreams_;
  VisitFrom(upstreams, last_reported_limit_, [&](const auto& entry) {
    const LimitObservation& observation = *entry.second->limit.observation();
    if (!IsSelected(filter, observation)) {
      return true;
    }
    if (report.entries.size() == max_entries) {
      return false;
    }
    const float per_second = observation.per_second
                                 ? static_cast<float>(*observation.per_second)
                                 : kNoRateLimit;
    report.entries.push_back(
        {entry.first, per_second, AgeMs(observation.observed_at, now)});
    return true;
  });
  if (report.entries.size() == max_entries) {
    last_reported_limit_ = report.entries.back().upstream_id;
  }
}

void StatementExchange::AddLeaving(StatementReport& report,
                                   const ReportFilter& filter,
                                   Time now) {
  const auto& statements = table_.leaving_ledger().statements();
  VisitFrom(statements, last_reported_leaving_, [&](const auto& entry) {
    const LeavingStatement& statement = entry.second;
    const bool is_due = filter.recent
                            ? now - statement.stated_at <= kReportWindow
                            : statement.leaving;
    if (!is_due || !IsSelected(filter, statement)) {
      return true;
    }
    if (report.leaving.size() == kMaxLeavingEntries) {
      return false;
    }
    report.leaving.push_back({entry.first, statement.started_ms,
                              statement.leaving,
                              AgeMs(statement.stated_at, now)});
    return true;
  });
  if (report.leaving.size() == kMaxLeavingEntries) {
    last_reported_leaving_ = report.leaving.back().upstream_id;
  }
}

StatementReport StatementExchange::OwnStatements(Time now) {
  std::erase_if(recently_observed_, [now](const auto& entry) {
    return entry.second->removed ||
           now - entry.second->limit.observation()->observed_at > kReportWindow;
  });
  return MakeReport(false, {host_, "", true}, now);
}

StatementReport StatementExchange::DomainStatements(Time now) {
  return MakeReport(true, {"", domain_, true}, now);
}

StatementReport StatementExchange::StatementSnapshot(Time now) {
  return MakeReport(false, {"", "", false}, now);
}

void StatementExchange::OnStatementReport(const StatementReport& report,
                                          Time now) {
  for (const LimitEntry& entry : report.entries) {
    const UpstreamPtr upstream = table_.Find(entry.upstream_id);
    if (!upstream) {
      continue;
    }
    LimitObservation observation;
    if (entry.per_second >= 0) {
      observation.per_second = static_cast<double>(entry.per_second);
    }
    observation.observed_at =
        now - std::chrono::milliseconds(entry.age_ms) - kMaxTransitTime;
    observation.host = report.host;
    observation.domain = report.domain;
    Apply(upstream, observation, now);
  }
  for (const LeavingEntry& entry : report.leaving) {
    const Time stated_at =
        now - std::chrono::milliseconds(entry.age_ms) - kMaxTransitTime;
    ApplyLeaving(entry.upstream_id, {entry.started_ms, entry.leaving, stated_at,
                                     report.host, report.domain});
  }
}

}  // namespace pathcleat
