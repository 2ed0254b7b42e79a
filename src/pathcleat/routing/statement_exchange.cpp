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

// Entries that do not fit in a report come first in the next one.
StatementReport StatementExchange::MakeReport(
    bool forward_to_domain,
    const Upstreams& upstreams,
    const std::function<bool(const LimitObservation&)>& is_included,
    Time now) {
  StatementReport report{domain_, host_, forward_to_domain, {}};
  auto next = upstreams.upper_bound(last_reported_);
  for (std::size_t i = 0; i < upstreams.size(); ++i, ++next) {
    if (next == upstreams.end()) {
      next = upstreams.begin();
    }
    const LimitObservation& observation = *next->second->limit.observation();
    if (!is_included(observation)) {
      continue;
    }
    if (report.entries.size() == kMaxLimitEntries) {
      last_reported_ = report.entries.back().upstream_id;
      break;
    }
    const float per_second = observation.per_second
                                 ? static_cast<float>(*observation.per_second)
                                 : kNoRateLimit;
    report.entries.push_back(
        {next->first, per_second, AgeMs(observation.observed_at, now)});
  }
  return report;
}

StatementReport StatementExchange::OwnStatements(Time now) {
  std::erase_if(recently_observed_, [now](const auto& entry) {
    return entry.second->removed ||
           now - entry.second->limit.observation()->observed_at > kReportWindow;
  });
  return MakeReport(
      false, recently_observed_,
      [this](const LimitObservation& observation) {
        return observation.host == host_;
      },
      now);
}

StatementReport StatementExchange::DomainStatements(Time now) {
  return MakeReport(
      true, recently_observed_,
      [this](const LimitObservation& observation) {
        return observation.domain == domain_;
      },
      now);
}

StatementReport StatementExchange::StatementSnapshot(Time now) {
  return MakeReport(
      false, limited_upstreams_, [](const LimitObservation&) { return true; },
      now);
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
}

}  // namespace pathcleat
