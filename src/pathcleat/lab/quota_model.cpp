// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/lab/quota_model.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <utility>

#include "pathcleat/accounts/quota_control.hpp"
#include "pathcleat/steer/token_bucket.hpp"

namespace pathcleat {
namespace {

constexpr Duration kStep{1'000};
constexpr Duration kReportPeriod{500'000};
constexpr int kReporters = 2;
// One way, within a domain and between regions.
constexpr Duration kNear{500};
constexpr Duration kFar{35'000};
// Before the rate is judged: callers and reports have settled.
constexpr double kSettled = 3;
constexpr double kEntryBytes = 20;

Duration FromSeconds(double seconds) {
  constexpr double kMicros = 1e6;
  return Duration(static_cast<Duration::rep>(seconds * kMicros));
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// What one window may hold.
double Allowed(const AccountLimit& limit, const QuotaBounds& bounds) {
  return (limit.per_second * Seconds(bounds.window) + limit.burst) *
             (1 + bounds.overage) +
         bounds.slack;
}

// The most that any window holds.
std::size_t MostIn(const std::vector<Time>& times, Duration window) {
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= window) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

class QuotaModel {
 public:
  QuotaModel(QuotaPolicy policy,
             const QuotaScenario& trace,
             const QuotaModelPlan& plan)
      : policy_(policy), trace_(trace), plan_(plan), random_(plan.seed) {
    account_.name = "account";
    account_.limit = trace.limit;
    for (int i = 0; i < plan.domains * plan.hosts_in_domain; ++i) {
      hosts_.push_back({});
      Restart(i);
    }
  }

  QuotaModelResult Play() {
    const Time end = start_ + FromSeconds(plan_.seconds);
    for (now_ = start_; now_ < end; now_ += kStep) {
      Change();
      Deliver();
      Report();
      Arrive();
    }
    return OutcomeHeader();
  }

 private:
  struct Host {
    int domain = 0;
    std::unique_ptr<QuotaControl> quotas;
    std::unique_ptr<TokenBucket> even;
    Time next_report;
    Time started;
    bool down = false;
  };

  double At() const { return Seconds(now_ - start_); }
  bool IsRush() const {
    return At() >= trace_.peak_from &&
           At() < trace_.peak_from + trace_.peak_seconds;
  }
  bool IsCut() const {
    return At() >= trace_.partition_from &&
           At() < trace_.partition_from + trace_.partition_seconds;
  }
  bool AreApart(int a, int b) const {
    const int half = plan_.domains / 2;
    return IsCut() && (hosts_[a].domain < half) != (hosts_[b].domain < half);
  }
  double Draw() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  int DrawBelow(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(random_);
  }

  void Restart(int index) {
    Host& host = hosts_[index];
    host.domain = index / plan_.hosts_in_domain;
    host.quotas = std::make_unique<QuotaControl>(
        std::to_string(host.domain), std::to_string(index), random_());
    host.quotas->SetBounds(plan_.bounds);
    host.started = now_;
    const auto count =
        static_cast<double>(plan_.domains * plan_.hosts_in_domain);
    host.even = std::make_unique<TokenBucket>(
        account_.limit.per_second / count,
        std::max(1.0, account_.limit.burst / count));
    host.next_report = now_ + FromSeconds(Draw() * Seconds(kReportPeriod));
  }

  // A host that starts in a cut has never heard the other half.
  QuotaHosts SharersOf(int index) const {
    QuotaHosts sharers;
    sharers.host_count = static_cast<int>(hosts_.size());
    sharers.sees_majority = !IsCut();
    const bool cut_at_start =
        hosts_[index].started >= start_ + FromSeconds(trace_.partition_from);
    for (int i = 0; i < sharers.host_count && cut_at_start; ++i) {
      sharers.never_seen_count += AreApart(index, i) ? 1 : 0;
    }
    return sharers;
  }

  // What is planned for this moment.
  void Change() {
    const auto is_now = [this](double at) {
      return at > 0 && now_ == start_ + FromSeconds(at);
    };
    const auto killed = static_cast<int>(trace_.killed_share *
                                         static_cast<double>(hosts_.size()));
    for (int i = 0; i < killed && is_now(trace_.kill_at); ++i) {
      hosts_[i].down = true;
    }
    for (int i = 0; i < killed && is_now(trace_.kill_at + trace_.down_seconds);
         ++i) {
      hosts_[i].down = false;
      Restart(i);
      Greet(i);
    }
    if (is_now(trace_.limit_change_at)) {
      account_.limit.per_second *= trace_.limit_factor;
      account_.limit.burst *= trace_.limit_factor;
      for (Host& host : hosts_) {
        host.quotas->SetAccounts({account_});
      }
    }
  }

  // A host that starts is told what a neighbour knows.
  void Greet(int index) {
    for (int i = 0; i < static_cast<int>(hosts_.size()); ++i) {
      if (i == index || hosts_[i].down ||
          hosts_[i].domain != hosts_[index].domain) {
        continue;
      }
      Post(i, index, hosts_[i].quotas->OwnUsage(now_), kNear);
      for (const UsageReport& known : hosts_[i].quotas->UsageSnapshot()) {
        Post(i, index, known, kNear);
      }
    }
  }

  void Post(int from, int to, UsageReport report, Duration delay) {
    if (report.time == HybridTime{}) {
      report.time.micros =
          static_cast<std::uint64_t>(now_.time_since_epoch().count());
      report.time.counter = ++counter_;
    }
    if (Draw() >= plan_.datagram_loss && !AreApart(from, to)) {
      mail_.emplace(now_ + delay, std::make_pair(to, std::move(report)));
    }
  }

  void Deliver() {
    while (!mail_.empty() && mail_.begin()->first <= now_) {
      const int to = mail_.begin()->second.first;
      const UsageReport report = std::move(mail_.begin()->second.second);
      mail_.erase(mail_.begin());
      if (hosts_[to].down) {
        continue;
      }
      hosts_[to].quotas->OnUsageReport(report, now_);
      if (report.forward_to_domain) {
        UsageReport passed = report;
        passed.forward_to_domain = false;
        ForNeighbours(to, [&](int i) { Post(to, i, passed, kNear); });
      }
    }
  }

  template <class Step>
  void ForNeighbours(int index, Step step) {
    const int first = hosts_[index].domain * plan_.hosts_in_domain;
    for (int i = first; i < first + plan_.hosts_in_domain; ++i) {
      if (i != index) {
        step(i);
      }
    }
  }

  void Report() {
    for (int i = 0; i < static_cast<int>(hosts_.size()); ++i) {
      Host& host = hosts_[i];
      if (host.down || now_ < host.next_report) {
        continue;
      }
      host.next_report = now_ + kReportPeriod;
      host.quotas->SetHosts(SharersOf(i), now_);
      const UsageReport own = host.quotas->OwnUsage(now_);
      ForNeighbours(i, [&](int to) { Post(i, to, own, kNear); });
      if (i % plan_.hosts_in_domain >= kReporters) {
        continue;
      }
      const UsageReport report = host.quotas->DomainUsage(now_);
      for (int d = 0; d < plan_.domains; ++d) {
        if (d != host.domain) {
          told_bytes_ +=
              kEntryBytes * static_cast<double>(report.entries.size());
          Post(i, d * plan_.hosts_in_domain + DrawBelow(plan_.hosts_in_domain),
               report, kFar);
        }
      }
    }
  }

  int DrawHost() {
    const int count = static_cast<int>(hosts_.size());
    if (IsRush() && trace_.peak_hosts > 0) {
      return DrawBelow(std::min(count, trace_.peak_hosts));
    }
    const bool moved = trace_.callers_move_at > 0 &&
                       At() >= trace_.callers_move_at && Draw() < 1.0 / 3;
    return moved ? DrawBelow(plan_.hosts_in_domain) : DrawBelow(count);
  }

  void Arrive() {
    const double rate =
        trace_.usual_per_second * (IsRush() ? trace_.peak_factor : 1);
    std::poisson_distribution<int> draw(rate * Seconds(kStep));
    for (int left = draw(random_); left > 0; --left) {
      int host = DrawHost();
      // Callers of a host that is down go to another one.
      while (hosts_[host].down) {
        host = DrawBelow(static_cast<int>(hosts_.size()));
      }
      Judge(Takes(host));
    }
  }

  bool Takes(int index) {
    switch (policy_) {
      case QuotaPolicy::kAdaptive:
        return hosts_[index].quotas->Admit(account_, now_).allowed;
      case QuotaPolicy::kEqualShare:
        return hosts_[index].even->TryAcquire(now_);
      case QuotaPolicy::kOwner:
        // The owner is in the second half; what it is not asked is refused.
        return !AreApart(index, static_cast<int>(hosts_.size()) - 1) &&
               owner_.TryAcquire(now_);
    }
    return false;
  }

  void Judge(bool taken) {
    const double limit = account_.limit.per_second;
    const bool below =
        !IsRush() && trace_.usual_per_second < limit && At() > kSettled;
    below_ += below ? 1 : 0;
    refused_below_ += below && !taken ? 1 : 0;
    if (taken) {
      taken_.push_back(now_);
    }
  }

  QuotaModelResult OutcomeHeader() const {
    QuotaModelResult outcome;
    // A lower limit binds a window after it was told; windows before it are
    // judged by the old one.
    const Time lowered =
        trace_.limit_change_at > 0
            ? start_ + FromSeconds(trace_.limit_change_at) + plan_.bounds.window
            : Time::max();
    std::vector<Time> before;
    std::vector<Time> after;
    for (const Time time : taken_) {
      (time < lowered ? before : after).push_back(time);
    }
    const Duration window = plan_.bounds.window;
    outcome.max_window_ratio =
        std::max(static_cast<double>(MostIn(before, window)) /
                     Allowed(trace_.limit, plan_.bounds),
                 static_cast<double>(MostIn(after, window)) /
                     Allowed(account_.limit, plan_.bounds));
    outcome.refused_share_below_limit =
        below_ == 0
            ? 0
            : static_cast<double>(refused_below_) / static_cast<double>(below_);
    outcome.peak_served_share = ServedInRush();
    outcome.report_bytes_per_second = told_bytes_ / plan_.seconds;
    return outcome;
  }

  double ServedInRush() const {
    const double half = trace_.peak_seconds / 2;
    const Time from = start_ + FromSeconds(trace_.peak_from + half);
    const Time until = from + FromSeconds(half);
    const auto count =
        std::count_if(taken_.begin(), taken_.end(),
                      [&](Time time) { return time >= from && time < until; });
    return static_cast<double>(count) / (account_.limit.per_second * half);
  }

  QuotaPolicy policy_;
  QuotaScenario trace_;
  QuotaModelPlan plan_;
  std::mt19937_64 random_;
  Account account_;
  std::vector<Host> hosts_;
  TokenBucket owner_{trace_.limit.per_second, trace_.limit.burst};
  std::multimap<Time, std::pair<int, UsageReport>> mail_;
  std::uint32_t counter_ = 0;
  Time start_ = Time(Duration(1'000'000'000));
  Time now_ = start_;
  std::vector<Time> taken_;
  int below_ = 0;
  int refused_below_ = 0;
  double told_bytes_ = 0;
};

}  // namespace

QuotaModelResult RunQuotaModel(QuotaPolicy policy,
                               const QuotaScenario& trace,
                               const QuotaModelPlan& plan) {
  return QuotaModel(policy, trace, plan).Play();
}

}  // namespace pathcleat
