// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/limit_exchange.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace pathcleat {
namespace {

// Four rounds of heartbeats, as datagrams get lost.
constexpr Duration kToldFor{2'000'000};
// A report is on its way for less than this: what it tells must not look newer
// than it is, or hosts that repeat each other would keep it fresh.
constexpr Duration kLongestWay{100'000};

std::uint32_t AgeMs(Time at, Time now) {
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, age));
}

}  // namespace

LimitExchange::LimitExchange(UpstreamTable& table,
                             std::string host,
                             std::string domain)
    : table_(table), host_(std::move(host)), domain_(std::move(domain)) {}

void LimitExchange::OnLimitReported(const UpstreamPtr& upstream,
                                    double per_second,
                                    Time now) {
  TakeOwn(upstream, {per_second, now, host_, domain_}, now);
}

void LimitExchange::OnNoLimitReported(const UpstreamPtr& upstream,
                                      Time sent,
                                      Time now) {
  if (upstream->limit.observation() &&
      upstream->limit.observation()->per_second) {
    TakeOwn(upstream, {std::nullopt, sent, host_, domain_}, now);
  }
}

void LimitExchange::TakeOwn(const UpstreamPtr& upstream,
                            const LimitObservation& sign,
                            Time now) {
  const LimitChange change = Take(upstream, sign, now);
  if (change != LimitChange::kNone && on_news_) {
    on_news_();
  }
}

LimitChange LimitExchange::Take(const UpstreamPtr& upstream,
                                const LimitObservation& sign,
                                Time now) {
  const LimitChange change = table_.UpdateLimit(upstream, sign, now);
  const LimitObservation* newest = upstream->limit.observation();
  if (newest != nullptr && newest->observed_at == sign.observed_at) {
    recent_[upstream->info.id] = upstream;
  }
  Note(upstream, change);
  return change;
}

void LimitExchange::Note(const UpstreamPtr& upstream, LimitChange change) {
  if (change == LimitChange::kNone) {
    return;
  }
  if (change == LimitChange::kEnded) {
    in_force_.erase(upstream->info.id);
  } else {
    in_force_[upstream->info.id] = upstream;
  }
  if (on_change_) {
    on_change_(*upstream, change);
  }
}

void LimitExchange::Tick(Time now) {
  std::vector<UpstreamPtr> lapsed;
  std::erase_if(in_force_, [&lapsed, now](const auto& named) {
    const bool over =
        named.second->removed || !named.second->limit.IsInForce(now);
    if (over && !named.second->removed) {
      lapsed.push_back(named.second);
    }
    return over;
  });
  for (const UpstreamPtr& upstream : lapsed) {
    Note(upstream, LimitChange::kEnded);
  }
}

// What finds no room is told first the next time.
LimitReport LimitExchange::Report(
    bool pass_on,
    const Upstreams& told,
    const std::function<bool(const LimitObservation&)>& tells,
    Time now) {
  LimitReport report{domain_, host_, pass_on, {}};
  auto next = told.upper_bound(last_told_);
  for (std::size_t i = 0; i < told.size(); ++i, ++next) {
    if (next == told.end()) {
      next = told.begin();
    }
    const LimitObservation& sign = *next->second->limit.observation();
    if (!tells(sign)) {
      continue;
    }
    if (report.entries.size() == kMaxLimitEntries) {
      last_told_ = report.entries.back().upstream_id;
      break;
    }
    const float per_second =
        sign.per_second ? static_cast<float>(*sign.per_second) : kNoRateLimit;
    report.entries.push_back(
        {next->first, per_second, AgeMs(sign.observed_at, now)});
  }
  return report;
}

LimitReport LimitExchange::OwnLimits(Time now) {
  std::erase_if(recent_, [now](const auto& named) {
    return named.second->removed ||
           now - named.second->limit.observation()->observed_at > kToldFor;
  });
  return Report(
      false, recent_,
      [this](const LimitObservation& sign) { return sign.host == host_; }, now);
}

LimitReport LimitExchange::DomainLimits(Time now) {
  return Report(
      true, recent_,
      [this](const LimitObservation& sign) { return sign.domain == domain_; },
      now);
}

LimitReport LimitExchange::LimitSnapshot(Time now) {
  return Report(
      false, in_force_, [](const LimitObservation&) { return true; }, now);
}

void LimitExchange::OnLimitReport(const LimitReport& report, Time now) {
  for (const LimitEntry& entry : report.entries) {
    const UpstreamPtr upstream = table_.Find(entry.upstream_id);
    if (!upstream) {
      continue;
    }
    LimitObservation sign;
    if (entry.per_second >= 0) {
      sign.per_second = static_cast<double>(entry.per_second);
    }
    sign.observed_at =
        now - std::chrono::milliseconds(entry.age_ms) - kLongestWay;
    sign.host = report.host;
    sign.domain = report.domain;
    Take(upstream, sign, now);
  }
}

}  // namespace pathcleat
