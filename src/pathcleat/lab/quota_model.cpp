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
constexpr Duration kReportInterval{500'000};
constexpr int kReportersPerDomain = 2;
// One-way network delays, within a domain and between regions.
constexpr Duration kDelayInDomain{500};
constexpr Duration kDelayBetweenRegions{35'000};
// Refusals before this time are not counted: the demand estimates and reports
// have not settled yet.
constexpr double kSettlingSeconds = 3;
constexpr double kBytesPerEntry = 20;

Duration FromSeconds(double seconds) {
  constexpr double kMicros = 1e6;
  return Duration(static_cast<Duration::rep>(seconds * kMicros));
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Requests that all hosts together may admit in one window.
double MaxRequestsPerWindow(const AccountLimit& limit,
                            const QuotaBounds& bounds) {
  return (limit.per_second * Seconds(bounds.window) + limit.burst) *
             (1 + bounds.overage) +
         bounds.slack;
}

// The number of times in the fullest window.
std::size_t FullestWindow(const std::vector<Time>& times, Duration window) {
  std::size_t max_count = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= window) {
      ++first;
    }
    max_count = std::max(max_count, last - first + 1);
  }
  return max_count;
}

class QuotaModel {
 public:
  QuotaModel(QuotaPolicy policy,
             const QuotaScenario& scenario,
             const QuotaModelPlan& plan)
      : policy_(policy), scenario_(scenario), plan_(plan), random_(plan.seed) {
    account_.name = "account";
    account_.limit = scenario.limit;
    for (int i = 0; i < plan.domains * plan.hosts_in_domain; ++i) {
      hosts_.push_back({});
      Restart(i);
    }
  }

  QuotaModelResult Run() {
    const Time end = start_ + FromSeconds(plan_.seconds);
    for (now_ = start_; now_ < end; now_ += kStep) {
      ApplyEvents();
      DeliverReports();
      SendReports();
      GenerateRequests();
    }
    return MakeResult();
  }

 private:
  struct Host {
    int domain = 0;
    std::unique_ptr<QuotaControl> quotas;
    std::unique_ptr<TokenBucket> equal_share_bucket;
    Time next_report;
    Time started;
    bool down = false;
  };

  double ElapsedSeconds() const { return Seconds(now_ - start_); }
  bool IsPeak() const {
    return ElapsedSeconds() >= scenario_.peak_from &&
           ElapsedSeconds() < scenario_.peak_from + scenario_.peak_seconds;
  }
  bool IsPartitioned() const {
    return ElapsedSeconds() >= scenario_.partition_from &&
           ElapsedSeconds() <
               scenario_.partition_from + scenario_.partition_seconds;
  }
  bool AreSeparated(int a, int b) const {
    const int half = plan_.domains / 2;
    return IsPartitioned() &&
           (hosts_[a].domain < half) != (hosts_[b].domain < half);
  }
  double RandomFraction() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  int RandomBelow(int count) {
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
    host.equal_share_bucket = std::make_unique<TokenBucket>(
        account_.limit.per_second / count,
        std::max(1.0, account_.limit.burst / count));
    host.next_report =
        now_ + FromSeconds(RandomFraction() * Seconds(kReportInterval));
  }

  // A host that starts during a partition has never received a report from the
  // other half.
  QuotaHosts QuotaHostsOf(int index) const {
    QuotaHosts quota_hosts;
    quota_hosts.host_count = static_cast<int>(hosts_.size());
    quota_hosts.sees_majority = !IsPartitioned();
    const bool partitioned_at_start =
        hosts_[index].started >= start_ + FromSeconds(scenario_.partition_from);
    for (int i = 0; i < quota_hosts.host_count && partitioned_at_start; ++i) {
      quota_hosts.never_seen_count += AreSeparated(index, i) ? 1 : 0;
    }
    return quota_hosts;
  }

  // Applies the events that the scenario has at this time.
  void ApplyEvents() {
    const auto is_due = [this](double at) {
      return at > 0 && now_ == start_ + FromSeconds(at);
    };
    const auto killed_count = static_cast<int>(
        scenario_.killed_share * static_cast<double>(hosts_.size()));
    for (int i = 0; i < killed_count && is_due(scenario_.kill_at); ++i) {
      hosts_[i].down = true;
    }
    for (int i = 0;
         i < killed_count && is_due(scenario_.kill_at + scenario_.down_seconds);
         ++i) {
      hosts_[i].down = false;
      Restart(i);
      SendSnapshot(i);
    }
    if (is_due(scenario_.limit_change_at)) {
      account_.limit.per_second *= scenario_.limit_factor;
      account_.limit.burst *= scenario_.limit_factor;
      for (Host& host : hosts_) {
        host.quotas->SetAccounts({account_});
      }
    }
  }

  // The other hosts of the domain send a restarted host their own usage and all
  // reports that they have.
  void SendSnapshot(int index) {
    for (int i = 0; i < static_cast<int>(hosts_.size()); ++i) {
      if (i == index || hosts_[i].down ||
          hosts_[i].domain != hosts_[index].domain) {
        continue;
      }
      Send(i, index, hosts_[i].quotas->OwnUsage(now_), kDelayInDomain);
      for (const UsageReport& peer_report : hosts_[i].quotas->UsageSnapshot()) {
        Send(i, index, peer_report, kDelayInDomain);
      }
    }
  }

  void Send(int from, int to, UsageReport report, Duration delay) {
    if (report.time == HybridTime{}) {
      report.time.micros =
          static_cast<std::uint64_t>(now_.time_since_epoch().count());
      report.time.counter = ++counter_;
    }
    if (RandomFraction() >= plan_.datagram_loss && !AreSeparated(from, to)) {
      undelivered_reports_.emplace(now_ + delay,
                                   std::make_pair(to, std::move(report)));
    }
  }

  void DeliverReports() {
    while (!undelivered_reports_.empty() &&
           undelivered_reports_.begin()->first <= now_) {
      const int to = undelivered_reports_.begin()->second.first;
      const UsageReport report =
          std::move(undelivered_reports_.begin()->second.second);
      undelivered_reports_.erase(undelivered_reports_.begin());
      if (hosts_[to].down) {
        continue;
      }
      hosts_[to].quotas->OnUsageReport(report, now_);
      if (report.forward_to_domain) {
        UsageReport forwarded = report;
        forwarded.forward_to_domain = false;
        ForOthersInDomain(
            to, [&](int i) { Send(to, i, forwarded, kDelayInDomain); });
      }
    }
  }

  template <class Step>
  void ForOthersInDomain(int index, Step step) {
    const int first = hosts_[index].domain * plan_.hosts_in_domain;
    for (int i = first; i < first + plan_.hosts_in_domain; ++i) {
      if (i != index) {
        step(i);
      }
    }
  }

  void SendReports() {
    for (int i = 0; i < static_cast<int>(hosts_.size()); ++i) {
      Host& host = hosts_[i];
      if (host.down || now_ < host.next_report) {
        continue;
      }
      host.next_report = now_ + kReportInterval;
      host.quotas->SetHosts(QuotaHostsOf(i), now_);
      const UsageReport own = host.quotas->OwnUsage(now_);
      ForOthersInDomain(i, [&](int to) { Send(i, to, own, kDelayInDomain); });
      if (i % plan_.hosts_in_domain >= kReportersPerDomain) {
        continue;
      }
      const UsageReport report = host.quotas->DomainUsage(now_);
      for (int d = 0; d < plan_.domains; ++d) {
        if (d != host.domain) {
          report_bytes_ +=
              kBytesPerEntry * static_cast<double>(report.entries.size());
          Send(i,
               d * plan_.hosts_in_domain + RandomBelow(plan_.hosts_in_domain),
               report, kDelayBetweenRegions);
        }
      }
    }
  }

  int RandomHost() {
    const int count = static_cast<int>(hosts_.size());
    if (IsPeak() && scenario_.peak_hosts > 0) {
      return RandomBelow(std::min(count, scenario_.peak_hosts));
    }
    const bool moved = scenario_.callers_move_at > 0 &&
                       ElapsedSeconds() >= scenario_.callers_move_at &&
                       RandomFraction() < 1.0 / 3;
    return moved ? RandomBelow(plan_.hosts_in_domain) : RandomBelow(count);
  }

  void GenerateRequests() {
    const double rate =
        scenario_.usual_per_second * (IsPeak() ? scenario_.peak_factor : 1);
    std::poisson_distribution<int> draw_count(rate * Seconds(kStep));
    for (int remaining = draw_count(random_); remaining > 0; --remaining) {
      int host = RandomHost();
      // Callers of a host that is down retry at a random host.
      while (hosts_[host].down) {
        host = RandomBelow(static_cast<int>(hosts_.size()));
      }
      CountRequest(Admits(host));
    }
  }

  bool Admits(int index) {
    switch (policy_) {
      case QuotaPolicy::kAdaptive:
        return hosts_[index].quotas->Admit(account_, now_).allowed;
      case QuotaPolicy::kEqualShare:
        return hosts_[index].equal_share_bucket->TryAcquire(now_);
      case QuotaPolicy::kOwner:
        // The model takes the last host as the owner, which is in the second
        // half of the domains. A host that cannot reach the owner refuses.
        return !AreSeparated(index, static_cast<int>(hosts_.size()) - 1) &&
               owner_bucket_.TryAcquire(now_);
    }
    return false;
  }

  void CountRequest(bool admitted) {
    const double limit = account_.limit.per_second;
    const bool below_limit = !IsPeak() && scenario_.usual_per_second < limit &&
                             ElapsedSeconds() > kSettlingSeconds;
    requests_below_limit_ += below_limit ? 1 : 0;
    refused_below_limit_ += below_limit && !admitted ? 1 : 0;
    if (admitted) {
      admitted_times_.push_back(now_);
    }
  }

  QuotaModelResult MakeResult() const {
    QuotaModelResult result;
    // A lower limit must hold one window length after the change; requests
    // before that time are compared with the old limit.
    const Time lower_limit_from =
        scenario_.limit_change_at > 0
            ? start_ + FromSeconds(scenario_.limit_change_at) +
                  plan_.bounds.window
            : Time::max();
    std::vector<Time> before_change;
    std::vector<Time> after_change;
    for (const Time time : admitted_times_) {
      (time < lower_limit_from ? before_change : after_change).push_back(time);
    }
    const Duration window = plan_.bounds.window;
    result.max_window_ratio =
        std::max(static_cast<double>(FullestWindow(before_change, window)) /
                     MaxRequestsPerWindow(scenario_.limit, plan_.bounds),
                 static_cast<double>(FullestWindow(after_change, window)) /
                     MaxRequestsPerWindow(account_.limit, plan_.bounds));
    result.refused_share_below_limit =
        requests_below_limit_ == 0
            ? 0
            : static_cast<double>(refused_below_limit_) /
                  static_cast<double>(requests_below_limit_);
    result.peak_served_share = PeakServedShare();
    result.report_bytes_per_second = report_bytes_ / plan_.seconds;
    return result;
  }

  double PeakServedShare() const {
    const double half = scenario_.peak_seconds / 2;
    const Time from = start_ + FromSeconds(scenario_.peak_from + half);
    const Time until = from + FromSeconds(half);
    const auto count =
        std::count_if(admitted_times_.begin(), admitted_times_.end(),
                      [&](Time time) { return time >= from && time < until; });
    return static_cast<double>(count) / (account_.limit.per_second * half);
  }

  QuotaPolicy policy_;
  QuotaScenario scenario_;
  QuotaModelPlan plan_;
  std::mt19937_64 random_;
  Account account_;
  std::vector<Host> hosts_;
  TokenBucket owner_bucket_{scenario_.limit.per_second, scenario_.limit.burst};
  std::multimap<Time, std::pair<int, UsageReport>> undelivered_reports_;
  std::uint32_t counter_ = 0;
  Time start_ = Time(Duration(1'000'000'000));
  Time now_ = start_;
  std::vector<Time> admitted_times_;
  int requests_below_limit_ = 0;
  int refused_below_limit_ = 0;
  double report_bytes_ = 0;
};

}  // namespace

QuotaModelResult RunQuotaModel(QuotaPolicy policy,
                               const QuotaScenario& scenario,
                               const QuotaModelPlan& plan) {
  return QuotaModel(policy, scenario, plan).Run();
}

}  // namespace pathcleat
