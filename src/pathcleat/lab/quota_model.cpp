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
constexpr Duration kHeartbeatTimeout{2'500'000};
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
    AddAccount(scenario.limit, scenario.usual_per_second);
    const double headroom =
        scenario.limit.per_second / scenario.usual_per_second;
    for (const double usual : scenario.other_usual) {
      AddAccount({usual * headroom, usual * headroom}, usual);
    }
    AddHosts();
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
    bool is_large = false;
    std::unique_ptr<QuotaControl> quotas;
    std::vector<TokenBucket> equal_share_buckets;  ///< by account
    Time next_report;
    Time started;
    bool down = false;
    bool exists = true;  ///< false: starts later for the first time
  };

  struct AccountLoad {
    Account account;
    AccountLimit initial_limit;
    double usual_per_second = 0;
    TokenBucket owner_bucket;
    std::vector<Time> admitted_times;
    std::vector<Time> refused_in_peak;
    int requests_below_limit = 0;
    int refused_below_limit = 0;
    int requests_in_peak = 0;
  };

  void AddAccount(const AccountLimit& limit, double usual) {
    AccountLoad load{Account(), limit,
                     usual,     TokenBucket(limit.per_second, limit.burst),
                     {},        {}};
    load.account.name = "account-" + std::to_string(accounts_.size());
    load.account.limit = limit;
    accounts_.push_back(std::move(load));
  }

  void AddHosts() {
    std::vector<int> sizes = plan_.hosts_by_domain;
    if (sizes.empty()) {
      sizes.assign(plan_.domains, plan_.hosts_in_domain);
    }
    plan_.domains = static_cast<int>(sizes.size());
    for (int d = 0; d < plan_.domains; ++d) {
      first_of_domain_.push_back(static_cast<int>(hosts_.size()));
      for (int i = 0; i < sizes[d]; ++i) {
        Host host;
        host.domain = d;
        host.is_large = i < plan_.large_hosts_in_domain;
        hosts_.push_back(std::move(host));
      }
    }
    first_of_domain_.push_back(static_cast<int>(hosts_.size()));
    const auto stride =
        scenario_.new_host_share > 0
            ? static_cast<std::size_t>(1 / scenario_.new_host_share)
            : hosts_.size() + 1;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      hosts_[i].exists = (i + 1) % stride != 0;
      hosts_[i].down = !hosts_[i].exists;
      Restart(static_cast<int>(i));
    }
    SetCallerWeights();
  }

  void SetCallerWeights() {
    std::vector<double> weights;
    for (const Host& host : hosts_) {
      weights.push_back(!host.exists    ? 0
                        : host.is_large ? plan_.large_host_weight
                                        : 1);
    }
    caller_choice_ =
        std::discrete_distribution<int>(weights.begin(), weights.end());
  }

  int HostsInDomain(int domain) const {
    return first_of_domain_[domain + 1] - first_of_domain_[domain];
  }

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
  bool IsSeparated(int from, int to) const {
    const int half = plan_.domains / 2;
    const bool from_first = hosts_[from].domain < half;
    const bool to_first = hosts_[to].domain < half;
    return IsPartitioned() && from_first != to_first &&
           (from_first || !scenario_.partition_one_way);
  }
  double RandomFraction() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  int RandomBelow(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(random_);
  }

  void Restart(int index) {
    Host& host = hosts_[index];
    host.quotas = std::make_unique<QuotaControl>(
        std::to_string(host.domain), std::to_string(index), random_());
    host.quotas->SetBounds(plan_.bounds);
    host.started = now_;
    const auto count = static_cast<double>(hosts_.size());
    host.equal_share_buckets.clear();
    for (const AccountLoad& load : accounts_) {
      host.equal_share_buckets.emplace_back(
          load.account.limit.per_second / count,
          std::max(1.0, load.account.limit.burst / count));
    }
    host.next_report =
        now_ + FromSeconds(RandomFraction() * Seconds(kReportInterval));
  }

  // Hosts whose heartbeats arrive, this host included. Heartbeats cease to
  // count kHeartbeatTimeout after the last one.
  int CountHeard(int index) const {
    const bool silent = ElapsedSeconds() - scenario_.partition_from >
                        Seconds(kHeartbeatTimeout);
    int heard = 0;
    for (int i = 0; i < static_cast<int>(hosts_.size()); ++i) {
      heard += hosts_[i].down || (silent && IsSeparated(i, index)) ? 0 : 1;
    }
    return heard;
  }

  // A host that starts during a partition has never received a report from the
  // other half.
  QuotaHosts QuotaHostsOf(int index) const {
    QuotaHosts quota_hosts;
    quota_hosts.host_count = static_cast<int>(std::count_if(
        hosts_.begin(), hosts_.end(), [](const Host& h) { return h.exists; }));
    quota_hosts.sees_majority = !IsPartitioned();
    quota_hosts.alive_count = CountHeard(index);
    const bool partitioned_at_start =
        hosts_[index].started >= start_ + FromSeconds(scenario_.partition_from);
    for (int i = 0; i < static_cast<int>(hosts_.size()) && partitioned_at_start;
         ++i) {
      quota_hosts.never_seen_count +=
          hosts_[i].exists && IsSeparated(i, index) ? 1 : 0;
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
      Start(i);
    }
    for (int i = 0;
         i < static_cast<int>(hosts_.size()) && is_due(scenario_.new_hosts_at);
         ++i) {
      if (!hosts_[i].exists) {
        hosts_[i].exists = true;
        Start(i);
      }
    }
    if (is_due(scenario_.new_hosts_at)) {
      SetCallerWeights();
    }
    if (is_due(scenario_.limit_change_at)) {
      ChangeLimits();
    }
  }

  void Start(int index) {
    hosts_[index].down = false;
    Restart(index);
    SendSnapshot(index);
  }

  void ChangeLimits() {
    std::vector<Account> changed;
    for (AccountLoad& load : accounts_) {
      load.account.limit.per_second *= scenario_.limit_factor;
      load.account.limit.burst *= scenario_.limit_factor;
      changed.push_back(load.account);
    }
    for (Host& host : hosts_) {
      host.quotas->SetAccounts(changed);
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
    for (UsageReport& part : SplitUsage(report)) {
      if (RandomFraction() >= plan_.datagram_loss && !IsSeparated(from, to)) {
        undelivered_reports_.emplace(now_ + delay,
                                     std::make_pair(to, std::move(part)));
      }
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
    const int domain = hosts_[index].domain;
    for (int i = first_of_domain_[domain]; i < first_of_domain_[domain + 1];
         ++i) {
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
      if (i - first_of_domain_[host.domain] >= kReportersPerDomain) {
        continue;
      }
      const UsageReport report = host.quotas->DomainUsage(now_);
      for (int d = 0; d < plan_.domains; ++d) {
        if (d != host.domain) {
          report_bytes_ +=
              kBytesPerEntry * static_cast<double>(report.entries.size());
          Send(i, first_of_domain_[d] + RandomBelow(HostsInDomain(d)), report,
               kDelayBetweenRegions);
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
    return moved ? RandomBelow(HostsInDomain(0)) : caller_choice_(random_);
  }

  void GenerateRequests() {
    for (std::size_t i = 0; i < accounts_.size(); ++i) {
      GenerateRequestsOf(i);
    }
  }

  void GenerateRequestsOf(std::size_t account) {
    const double rate = accounts_[account].usual_per_second *
                        (IsPeak() ? scenario_.peak_factor : 1);
    std::poisson_distribution<int> draw_count(rate * Seconds(kStep));
    for (int remaining = draw_count(random_); remaining > 0; --remaining) {
      int host = RandomHost();
      // Callers of a host that is down retry at a random host.
      while (hosts_[host].down) {
        host = RandomBelow(static_cast<int>(hosts_.size()));
      }
      CountRequest(accounts_[account], Admits(host, account));
    }
  }

  bool Admits(int index, std::size_t account) {
    switch (policy_) {
      case QuotaPolicy::kAdaptive:
        return hosts_[index]
            .quotas->Admit(accounts_[account].account, now_)
            .allowed;
      case QuotaPolicy::kEqualShare:
        return hosts_[index].equal_share_buckets[account].TryAcquire(now_);
      case QuotaPolicy::kOwner:
        // The model takes the last host as the owner, which is in the second
        // half of the domains. A host that cannot reach the owner refuses.
        return !IsSeparated(index, static_cast<int>(hosts_.size()) - 1) &&
               accounts_[account].owner_bucket.TryAcquire(now_);
    }
    return false;
  }

  void CountRequest(AccountLoad& load, bool admitted) {
    const bool below_limit =
        !IsPeak() && load.usual_per_second < load.account.limit.per_second &&
        ElapsedSeconds() > kSettlingSeconds;
    load.requests_below_limit += below_limit ? 1 : 0;
    load.refused_below_limit += below_limit && !admitted ? 1 : 0;
    load.requests_in_peak += IsPeak() ? 1 : 0;
    if (admitted) {
      load.admitted_times.push_back(now_);
    } else if (IsPeak()) {
      load.refused_in_peak.push_back(now_);
    }
  }

  // A lower limit must hold one window length after the change; requests before
  // that time are compared with the old limit.
  double MaxWindowRatio(const AccountLoad& load) const {
    const Time lower_limit_from =
        scenario_.limit_change_at > 0
            ? start_ + FromSeconds(scenario_.limit_change_at) +
                  plan_.bounds.window
            : Time::max();
    std::vector<Time> before_change;
    std::vector<Time> after_change;
    for (const Time time : load.admitted_times) {
      (time < lower_limit_from ? before_change : after_change).push_back(time);
    }
    const Duration window = plan_.bounds.window;
    return std::max(static_cast<double>(FullestWindow(before_change, window)) /
                        MaxRequestsPerWindow(load.initial_limit, plan_.bounds),
                    static_cast<double>(FullestWindow(after_change, window)) /
                        MaxRequestsPerWindow(load.account.limit, plan_.bounds));
  }

  // The bound leaves room for a refused request if each window that includes it
  // has fewer requests than allowed.
  double RefusedShareWithRoom(const AccountLoad& load) const {
    const double allowed =
        MaxRequestsPerWindow(load.account.limit, plan_.bounds);
    int with_room = 0;
    for (const Time time : load.refused_in_peak) {
      const auto first = std::upper_bound(load.admitted_times.begin(),
                                          load.admitted_times.end(),
                                          time - plan_.bounds.window);
      const auto last = std::lower_bound(first, load.admitted_times.end(),
                                         time + plan_.bounds.window);
      with_room += static_cast<double>(
                       FullestWindow({first, last}, plan_.bounds.window)) +
                               1 <=
                           allowed
                       ? 1
                       : 0;
    }
    return load.requests_in_peak == 0
               ? 0
               : static_cast<double>(with_room) / load.requests_in_peak;
  }

  QuotaModelResult MakeResult() const {
    QuotaModelResult result;
    int requests_below_limit = 0;
    int refused_below_limit = 0;
    for (const AccountLoad& load : accounts_) {
      result.max_window_ratio =
          std::max(result.max_window_ratio, MaxWindowRatio(load));
      requests_below_limit += load.requests_below_limit;
      refused_below_limit += load.refused_below_limit;
    }
    result.refused_share_below_limit =
        requests_below_limit == 0
            ? 0
            : static_cast<double>(refused_below_limit) / requests_below_limit;
    result.refused_share_with_room = RefusedShareWithRoom(accounts_.front());
    result.peak_served_share = PeakServedShare(accounts_.front());
    result.report_bytes_per_second = report_bytes_ / plan_.seconds;
    return result;
  }

  double PeakServedShare(const AccountLoad& load) const {
    const double half = scenario_.peak_seconds / 2;
    const Time from = start_ + FromSeconds(scenario_.peak_from + half);
    const Time until = from + FromSeconds(half);
    const auto count =
        std::count_if(load.admitted_times.begin(), load.admitted_times.end(),
                      [&](Time time) { return time >= from && time < until; });
    return static_cast<double>(count) / (load.account.limit.per_second * half);
  }

  QuotaPolicy policy_;
  QuotaScenario scenario_;
  QuotaModelPlan plan_;
  std::mt19937_64 random_;
  std::vector<AccountLoad> accounts_;
  std::vector<Host> hosts_;
  std::vector<int>
      first_of_domain_;  ///< index of the first host; one entry more
  std::discrete_distribution<int> caller_choice_;
  std::multimap<Time, std::pair<int, UsageReport>> undelivered_reports_;
  std::uint32_t counter_ = 0;
  Time start_ = Time(Duration(1'000'000'000));
  Time now_ = start_;
  double report_bytes_ = 0;
};

}  // namespace

QuotaModelResult RunQuotaModel(QuotaPolicy policy,
                               const QuotaScenario& scenario,
                               const QuotaModelPlan& plan) {
  return QuotaModel(policy, scenario, plan).Run();
}

}  // namespace pathcleat
