// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/lab/limit_model.hpp"

#include <algorithm>
#include <deque>
#include <memory>
#include <numeric>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "limit_windows.hpp"
#include "pathcleat/core/hash.hpp"
#include "pathcleat/routing/rate_share.hpp"
#include "pathcleat/routing/statement_exchange.hpp"

namespace pathcleat {
namespace {

constexpr Duration kStep{5'000};
constexpr Duration kTickInterval{250'000};
constexpr Duration kReportInterval{500'000};
// Windows are counted from this long after the first report of a limit.
constexpr Duration kSettlingTime{3'000'000};
// A request counts as informed if its host has had the limit for this long.
constexpr Duration kInformedDelay{500'000};
// Hosts count a silent host among those that share a limit for this long after
// its last message.
constexpr Duration kSilentSharerTtl{4'000'000};
constexpr Duration kMaxQueueWait{2'000'000};

class LimitModel {
 public:
  explicit LimitModel(const LimitModelPlan& plan)
      : plan_(plan), random_(plan.seed), upstreams_(ToSize(plan.upstreams)) {
    for (Upstream& upstream : upstreams_) {
      upstream.slot_free_at.assign(ToSize(plan.slots), now_);
    }
    for (int d = 0; d < plan.domains; ++d) {
      for (int h = 0; h < plan.hosts_in_domain; ++h) {
        hosts_.emplace_back();
        hosts_.back().domain = d;
        hosts_.back().name =
            "host-" + std::to_string(d) + "-" + std::to_string(h);
        Start(hosts_.back());
      }
    }
  }

  LimitModelResult Run() {
    const Time end = start_ + plan_.duration;
    for (; now_ < end; now_ += kStep) {
      Deliver();
      FinishRuns();
      Arrive();
      Tick();
      Restart();
      RecordEndDelay();
    }
    return Result();
  }

 private:
  struct Host {
    int domain = 0;
    std::string name;
    std::unique_ptr<UpstreamTable> table;
    std::unique_ptr<StatementExchange> exchange;
    std::vector<UpstreamPtr> upstreams;
    std::vector<Time> informed_at;  ///< time of the first answer with a
                                    ///< limit, by upstream
    Time next_tick;
    Time next_report;
  };
  struct Upstream {
    std::vector<Time> slot_free_at;  ///< by slot
    std::vector<LimitArrival> arrivals;
    Time first_reported;
  };
  struct Work {
    Time answered_at;
    std::size_t host;
    std::size_t upstream;
    Time sent_at;
    bool limit_reported;
  };
  struct Message {
    Time arrives_at;
    std::size_t to;
    StatementReport report;
  };
  static std::size_t ToSize(int count) {
    return static_cast<std::size_t>(count);
  }

  void Start(Host& host) {
    host.table = std::make_unique<UpstreamTable>(
        std::map<std::string, std::string>{{"d", "r"}});
    host.exchange = std::make_unique<StatementExchange>(
        *host.table, host.name, "domain-" + std::to_string(host.domain));
    host.exchange->SetOnChange(
        [this](UpstreamState& upstream, LimitChange change) {
          if (change == LimitChange::kStarted) {
            upstream.rate_share.SetRate(0, now_);
          }
        });
    host.upstreams.clear();
    host.informed_at.assign(upstreams_.size(), Time::max());
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
      UpstreamInfo info;
      info.id = "i-" + std::to_string(i);
      info.service = "s";
      info.domain = "d";
      info.slots = plan_.slots;
      host.table->Put(info, now_);
      host.upstreams.push_back(host.table->Find(info.id));
    }
    host.next_tick = now_ + RandomDuration(kTickInterval);
    host.next_report = now_ + RandomDuration(kReportInterval);
  }

  Duration RandomDuration(Duration max_duration) {
    return Duration(
        RandomIndex(static_cast<std::size_t>(max_duration.count()) + 1));
  }
  std::size_t RandomIndex(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
  }

  bool IsLimited(std::size_t upstream, Time at) const {
    return upstream < ToSize(plan_.limited_upstreams) &&
           at >= start_ + plan_.limited_from &&
           at < start_ + plan_.limited_until;
  }

  bool IsPartitioned(Time since) const {
    return plan_.partition_from > Duration::zero() &&
           since >= start_ + plan_.partition_from &&
           now_ < start_ + plan_.limited_until;
  }
  bool CanReach(const Host& one, const Host& other) const {
    const int half = plan_.domains / 2;
    return !IsPartitioned(now_) || (one.domain < half) == (other.domain < half);
  }
  bool CountsAsSharer(const Host& one, const Host& other) const {
    return !IsPartitioned(now_ - kSilentSharerTtl) || CanReach(one, other);
  }

  double RateOf(const Host& host, const UpstreamState& upstream) const {
    const double limit = upstream.limit.PerSecond(now_);
    if (plan_.strategy == LimitStrategy::kEqualShare) {
      return limit / static_cast<double>(hosts_.size());
    }
    RateSenders senders(StableHash(host.name), "r");
    for (const Host& other : hosts_) {
      if (&other != &host && CountsAsSharer(host, other)) {
        senders.AddHost(StableHash(other.name), "r");
      }
    }
    senders.SetFleetSize(static_cast<int>(hosts_.size()));
    return senders.Rate(
        {limit, kLimitSlack + kLimitOverage * limit * ToSeconds(kLimitWindow)},
        upstream.hash, "r");
  }

  // Hosts receive the usage of other hosts in reports, one per kReportInterval.
  bool HasUsageLeft(const Upstream& upstream,
                    const UpstreamState& state,
                    std::size_t host) const {
    const Time last_report = start_ + (now_ - plan_.one_way_delay - start_) /
                                          kReportInterval * kReportInterval;
    double sent = 0;
    for (auto at = upstream.arrivals.rbegin();
         at != upstream.arrivals.rend() && now_ - at->at < kLimitWindow; ++at) {
      sent += at->host == host || at->at <= last_report ? 1 : 0;
    }
    return sent < state.limit.PerSecond(now_) * ToSeconds(kLimitWindow);
  }

  bool MaySend(std::size_t host, std::size_t index) {
    UpstreamState& state = *hosts_[host].upstreams[index];
    if (plan_.strategy == LimitStrategy::kNone ||
        !state.limit.IsInForce(now_)) {
      return true;
    }
    if (plan_.strategy == LimitStrategy::kReportedUsage) {
      return HasUsageLeft(upstreams_[index], state, host);
    }
    return state.rate_share.TryAcquire(now_);
  }

  // As UpstreamPicker does: an upstream whose limit should be probed comes
  // first.
  void MoveProbeFirst(std::size_t host, std::vector<std::size_t>& order) {
    const auto probe =
        std::find_if(order.begin(), order.end(), [&](std::size_t index) {
          const UpstreamState& state = *hosts_[host].upstreams[index];
          return state.limit.ShouldProbe(now_) &&
                 state.rate_share.CanAcquire(now_);
        });
    if (plan_.strategy == LimitStrategy::kFewSenders && probe != order.end()) {
      std::iter_swap(order.begin(), probe);
    }
  }

  void Arrive() {
    std::poisson_distribution<int> count(plan_.requests_per_second *
                                         ToSeconds(kStep));
    for (int left = count(random_); left > 0; --left) {
      const std::size_t host = RandomIndex(hosts_.size());
      std::vector<std::size_t> order(upstreams_.size());
      std::iota(order.begin(), order.end(), std::size_t{0});
      std::shuffle(order.begin(), order.end(), random_);
      MoveProbeFirst(host, order);
      const auto chosen =
          std::find_if(order.begin(), order.end(),
                       [&](std::size_t index) { return MaySend(host, index); });
      ++requests_;
      if (chosen == order.end()) {
        ++refused_;
      } else {
        Send(host, *chosen);
      }
    }
  }

  void Send(std::size_t host, std::size_t index) {
    Upstream& upstream = upstreams_[index];
    const Time informed_at = hosts_[host].informed_at[index];
    upstream.arrivals.push_back(
        {now_, host,
         informed_at != Time::max() && informed_at <= now_ - kInformedDelay});
    auto& slot = *std::min_element(upstream.slot_free_at.begin(),
                                   upstream.slot_free_at.end());
    Time ends_at = now_;
    if (slot - now_ < kMaxQueueWait) {
      std::exponential_distribution<double> draw(1.0);
      const auto mean = static_cast<double>(plan_.mean_run_time.count());
      slot = std::max(slot, now_) +
             Duration(static_cast<std::int64_t>(mean * draw(random_)));
      ends_at = slot;
    } else {
      ++refused_;
    }
    runs_.push_back({ends_at + plan_.one_way_delay, host, index, now_,
                     IsLimited(index, ends_at)});
  }

  void FinishRuns() {
    std::vector<Work> ended;
    std::erase_if(runs_, [&](const Work& run) {
      if (now_ >= run.answered_at) {
        ended.push_back(run);
      }
      return now_ >= run.answered_at;
    });
    for (const Work& run : ended) {
      Host& host = hosts_[run.host];
      const UpstreamPtr& upstream = host.upstreams[run.upstream];
      if (!run.limit_reported) {
        host.exchange->OnNoLimitReported(upstream, run.sent_at, now_);
        continue;
      }
      host.informed_at[run.upstream] =
          std::min(host.informed_at[run.upstream], now_);
      Upstream& limited_upstream = upstreams_[run.upstream];
      if (limited_upstream.first_reported == Time()) {
        limited_upstream.first_reported = now_;
      }
      const bool is_first = !upstream->limit.IsInForce(now_);
      host.exchange->OnLimitReported(upstream, plan_.limit_per_second, now_);
      if (is_first) {
        SendReports(run.host);
      }
    }
  }

  // As in PeerLink: the first host of each domain also reports to the other
  // domains.
  void SendReports(std::size_t from) {
    Host& host = hosts_[from];
    const StatementReport own_limits = host.exchange->OwnStatements(now_);
    for (std::size_t to = 0; to < hosts_.size(); ++to) {
      if (to != from && hosts_[to].domain == host.domain) {
        PostReport(from, to, own_limits);
      }
    }
    const auto in_domain = ToSize(plan_.hosts_in_domain);
    if (from % in_domain != 0) {
      return;
    }
    const StatementReport domain_limits = host.exchange->DomainStatements(now_);
    for (int d = 0; d < plan_.domains; ++d) {
      if (d != host.domain) {
        PostReport(from, ToSize(d) * in_domain + RandomIndex(in_domain),
                   domain_limits);
      }
    }
  }

  void PostReport(std::size_t from,
                  std::size_t to,
                  const StatementReport& report) {
    if (report.IsEmpty() || !CanReach(hosts_[from], hosts_[to])) {
      return;
    }
    bytes_ += static_cast<double>(EncodeStatements(report).size());
    messages_.push_back({now_ + plan_.one_way_delay, to, report});
  }

  void Deliver() {
    while (!messages_.empty() && messages_.front().arrives_at <= now_) {
      const Message message = std::move(messages_.front());
      messages_.pop_front();
      Host& host = hosts_[message.to];
      host.exchange->OnStatementReport(message.report, now_);
      if (!message.report.forward_to_domain) {
        continue;
      }
      StatementReport forwarded = message.report;
      forwarded.forward_to_domain = false;
      for (std::size_t to = 0; to < hosts_.size(); ++to) {
        if (to != message.to && hosts_[to].domain == host.domain) {
          PostReport(message.to, to, forwarded);
        }
      }
    }
  }

  void Tick() {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      Host& host = hosts_[i];
      if (now_ >= host.next_tick) {
        host.next_tick += kTickInterval;
        host.exchange->Tick(now_);
        for (const UpstreamPtr& upstream :
             host.table->RateBoundCandidates(now_)) {
          upstream->rate_share.SetRate(RateOf(host, *upstream), now_);
        }
      }
      if (now_ >= host.next_report) {
        host.next_report += kReportInterval;
        SendReports(i);
      }
    }
  }

  void Restart() {
    const Time middle = start_ + (plan_.limited_from + plan_.limited_until) / 2;
    if (plan_.restart_one_in == 0 || now_ < middle ||
        std::exchange(restarted_, true)) {
      return;
    }
    for (std::size_t i = 0; i < hosts_.size();
         i += ToSize(plan_.restart_one_in)) {
      Start(hosts_[i]);
    }
  }

  void RecordEndDelay() {
    const Time limit_end = start_ + plan_.limited_until;
    for (const Host& host : hosts_) {
      if (now_ > limit_end && !host.exchange->limited_upstreams().empty()) {
        end_delay_ = now_ - limit_end;
      }
    }
  }

  LimitModelResult Result() const {
    const double limit = plan_.limit_per_second;
    const Time limit_end = start_ + plan_.limited_until;
    LimitModelResult result;
    double used = 0;
    for (std::size_t i = 0; i < ToSize(plan_.limited_upstreams); ++i) {
      const Upstream& upstream = upstreams_[i];
      const Time from = upstream.first_reported + kSettlingTime;
      if (upstream.first_reported == Time() || from >= limit_end) {
        continue;
      }
      const LimitUse use =
          MeasureLimitUse(upstream.arrivals, {limit, from, limit_end});
      result.max_window_ratio =
          std::max(result.max_window_ratio, use.max_window_ratio);
      result.max_informed_window_ratio = std::max(
          result.max_informed_window_ratio, use.max_informed_window_ratio);
      used += use.used_share;
    }
    result.used_share = used / plan_.limited_upstreams;
    result.refused_share = refused_ / requests_;
    result.end_delay_seconds = ToSeconds(end_delay_);
    result.bytes_per_host_per_second =
        bytes_ / static_cast<double>(hosts_.size()) /
        ToSeconds(plan_.limited_until - plan_.limited_from);
    return result;
  }

  LimitModelPlan plan_;
  std::mt19937_64 random_;
  const Time start_{std::chrono::hours(1)};
  Time now_ = start_;
  std::vector<Upstream> upstreams_;
  std::deque<Host> hosts_;
  std::vector<Work> runs_;
  std::deque<Message> messages_;
  double requests_ = 0;
  double refused_ = 0;
  double bytes_ = 0;
  Duration end_delay_{0};
  bool restarted_ = false;
};

}  // namespace

LimitModelResult RunLimitModel(const LimitModelPlan& plan) {
  return LimitModel(plan).Run();
}

}  // namespace pathcleat
