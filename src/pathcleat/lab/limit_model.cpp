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
#include "pathcleat/routing/limit_exchange.hpp"
#include "pathcleat/routing/rate_share.hpp"

namespace pathcleat {
namespace {

constexpr Duration kStep{5'000};
constexpr Duration kTick{250'000};
constexpr Duration kTellEvery{500'000};
constexpr Duration kContact{3'000'000};
constexpr Duration kToldBefore{500'000};
// A host that is not heard counts for so long where limits are shared.
constexpr Duration kSharesFor{4'000'000};
constexpr Duration kLongestQueue{2'000'000};

class LimitPlay {
 public:
  explicit LimitPlay(const LimitModelPlan& plan)
      : plan_(plan), random_(plan.seed), upstreams_(Count(plan.upstreams)) {
    for (Upstream& upstream : upstreams_) {
      upstream.free.assign(Count(plan.slots), now_);
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
    const Time end = begun_ + plan_.duration;
    for (; now_ < end; now_ += kStep) {
      Deliver();
      EndRuns();
      Arrive();
      Tick();
      Restart();
      NoteKnownOver();
    }
    return Result();
  }

 private:
  struct Host {
    int domain = 0;
    std::string name;
    std::unique_ptr<UpstreamTable> table;
    std::unique_ptr<LimitExchange> exchange;
    std::vector<UpstreamPtr> upstreams;
    std::vector<Time> told;  ///< first answer that named a limit; by upstream
    Time next_tick;
    Time next_tell;
  };
  struct Upstream {
    std::vector<Time> free;  ///< when each slot is
    std::vector<LimitArrival> arrivals;
    Time first_named;
  };
  struct Work {
    Time answered;
    std::size_t host;
    std::size_t upstream;
    Time sent;
    bool named;
  };
  struct Message {
    Time arrives;
    std::size_t to;
    LimitReport report;
  };
  static std::size_t Count(int count) {
    return static_cast<std::size_t>(count);
  }

  void Start(Host& host) {
    host.table = std::make_unique<UpstreamTable>(
        std::map<std::string, std::string>{{"d", "r"}});
    host.exchange = std::make_unique<LimitExchange>(
        *host.table, host.name, "domain-" + std::to_string(host.domain));
    host.exchange->SetOnChange(
        [this](UpstreamState& upstream, LimitChange change) {
          if (change == LimitChange::kStarted) {
            upstream.rate_share.SetRate(0, now_);
          }
        });
    host.upstreams.clear();
    host.told.assign(upstreams_.size(), Time::max());
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
      UpstreamInfo info;
      info.id = "i-" + std::to_string(i);
      info.service = "s";
      info.domain = "d";
      info.slots = plan_.slots;
      host.table->Put(info, now_);
      host.upstreams.push_back(host.table->Find(info.id));
    }
    host.next_tick = now_ + UpTo(kTick);
    host.next_tell = now_ + UpTo(kTellEvery);
  }

  Duration UpTo(Duration most) {
    return Duration(AnyOf(static_cast<std::size_t>(most.count()) + 1));
  }
  std::size_t AnyOf(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
  }

  bool IsNeeding(std::size_t upstream, Time at) const {
    return upstream < Count(plan_.limited_upstreams) &&
           at >= begun_ + plan_.limited_from &&
           at < begun_ + plan_.limited_until;
  }

  bool IsCut(Time since) const {
    return plan_.partition_from > Duration::zero() &&
           since >= begun_ + plan_.partition_from &&
           now_ < begun_ + plan_.limited_until;
  }
  bool Hears(const Host& one, const Host& other) const {
    const int half = plan_.domains / 2;
    return !IsCut(now_) || (one.domain < half) == (other.domain < half);
  }
  bool Shares(const Host& one, const Host& other) const {
    return !IsCut(now_ - kSharesFor) || Hears(one, other);
  }

  double RateOf(const Host& host, const UpstreamState& upstream) const {
    const double limit = upstream.limit.PerSecond(now_);
    if (plan_.strategy == LimitStrategy::kEqualShare) {
      return limit / static_cast<double>(hosts_.size());
    }
    RateSenders senders(StableHash(host.name), "r");
    for (const Host& other : hosts_) {
      if (&other != &host && Shares(host, other)) {
        senders.AddHost(StableHash(other.name), "r");
      }
    }
    senders.SetFleetSize(static_cast<int>(hosts_.size()));
    return senders.Rate(
        {limit, kLimitSlack + kLimitOverage * limit * ToSeconds(kLimitWindow)},
        upstream.hash, "r");
  }

  // What others sent is told in rounds.
  bool HasUsageLeft(const Upstream& upstream,
                    const UpstreamState& state,
                    std::size_t host) const {
    const Time told = begun_ + (now_ - plan_.one_way_delay - begun_) /
                                   kTellEvery * kTellEvery;
    double sent = 0;
    for (auto at = upstream.arrivals.rbegin();
         at != upstream.arrivals.rend() && now_ - at->at < kLimitWindow; ++at) {
      sent += at->host == host || at->at <= told ? 1 : 0;
    }
    return sent < state.limit.PerSecond(now_) * ToSeconds(kLimitWindow);
  }

  bool MayTake(std::size_t host, std::size_t index) {
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

  // As UpstreamPicker does it.
  void PutToBeAskedFirst(std::size_t host, std::vector<std::size_t>& order) {
    const auto asked =
        std::find_if(order.begin(), order.end(), [&](std::size_t index) {
          const UpstreamState& state = *hosts_[host].upstreams[index];
          return state.limit.ShouldProbe(now_) &&
                 state.rate_share.CanAcquire(now_);
        });
    if (plan_.strategy == LimitStrategy::kFewSenders && asked != order.end()) {
      std::iter_swap(order.begin(), asked);
    }
  }

  void Arrive() {
    std::poisson_distribution<int> count(plan_.requests_per_second *
                                         ToSeconds(kStep));
    for (int left = count(random_); left > 0; --left) {
      const std::size_t host = AnyOf(hosts_.size());
      std::vector<std::size_t> order(upstreams_.size());
      std::iota(order.begin(), order.end(), std::size_t{0});
      std::shuffle(order.begin(), order.end(), random_);
      PutToBeAskedFirst(host, order);
      const auto chosen =
          std::find_if(order.begin(), order.end(),
                       [&](std::size_t index) { return MayTake(host, index); });
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
    const Time told = hosts_[host].told[index];
    upstream.arrivals.push_back(
        {now_, host, told != Time::max() && told <= now_ - kToldBefore});
    auto& slot = *std::min_element(upstream.free.begin(), upstream.free.end());
    Time ends = now_;
    if (slot - now_ < kLongestQueue) {
      std::exponential_distribution<double> draw(1.0);
      const auto mean = static_cast<double>(plan_.mean_run_time.count());
      slot = std::max(slot, now_) +
             Duration(static_cast<std::int64_t>(mean * draw(random_)));
      ends = slot;
    } else {
      ++refused_;
    }
    runs_.push_back({ends + plan_.one_way_delay, host, index, now_,
                     IsNeeding(index, ends)});
  }

  void EndRuns() {
    std::vector<Work> ended;
    std::erase_if(runs_, [&](const Work& run) {
      if (now_ >= run.answered) {
        ended.push_back(run);
      }
      return now_ >= run.answered;
    });
    for (const Work& run : ended) {
      Host& host = hosts_[run.host];
      const UpstreamPtr& upstream = host.upstreams[run.upstream];
      if (!run.named) {
        host.exchange->OnNoLimitReported(upstream, run.sent, now_);
        continue;
      }
      host.told[run.upstream] = std::min(host.told[run.upstream], now_);
      Upstream& seen = upstreams_[run.upstream];
      if (seen.first_named == Time()) {
        seen.first_named = now_;
      }
      const bool first = !upstream->limit.IsInForce(now_);
      host.exchange->OnLimitReported(upstream, plan_.limit_per_second, now_);
      if (first) {
        Tell(run.host);
      }
    }
  }

  // As PeerLink does it: each domain's first host tells the other domains.
  void Tell(std::size_t from) {
    Host& host = hosts_[from];
    const LimitReport own = host.exchange->OwnLimits(now_);
    for (std::size_t to = 0; to < hosts_.size(); ++to) {
      if (to != from && hosts_[to].domain == host.domain) {
        Post(from, to, own);
      }
    }
    const auto in_domain = Count(plan_.hosts_in_domain);
    if (from % in_domain != 0) {
      return;
    }
    const LimitReport far = host.exchange->DomainLimits(now_);
    for (int d = 0; d < plan_.domains; ++d) {
      if (d != host.domain) {
        Post(from, Count(d) * in_domain + AnyOf(in_domain), far);
      }
    }
  }

  void Post(std::size_t from, std::size_t to, const LimitReport& report) {
    if (report.entries.empty() || !Hears(hosts_[from], hosts_[to])) {
      return;
    }
    bytes_ += static_cast<double>(EncodeLimits(report).size());
    messages_.push_back({now_ + plan_.one_way_delay, to, report});
  }

  void Deliver() {
    while (!messages_.empty() && messages_.front().arrives <= now_) {
      const Message message = std::move(messages_.front());
      messages_.pop_front();
      Host& host = hosts_[message.to];
      host.exchange->OnLimitReport(message.report, now_);
      if (!message.report.forward_to_domain) {
        continue;
      }
      LimitReport passed = message.report;
      passed.forward_to_domain = false;
      for (std::size_t to = 0; to < hosts_.size(); ++to) {
        if (to != message.to && hosts_[to].domain == host.domain) {
          Post(message.to, to, passed);
        }
      }
    }
  }

  void Tick() {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      Host& host = hosts_[i];
      if (now_ >= host.next_tick) {
        host.next_tick += kTick;
        host.exchange->Tick(now_);
        for (const UpstreamPtr& upstream : host.table->MaybeRateBounded(now_)) {
          upstream->rate_share.SetRate(RateOf(host, *upstream), now_);
        }
      }
      if (now_ >= host.next_tell) {
        host.next_tell += kTellEvery;
        Tell(i);
      }
    }
  }

  void Restart() {
    const Time middle = begun_ + (plan_.limited_from + plan_.limited_until) / 2;
    if (plan_.restart_one_in == 0 || now_ < middle ||
        std::exchange(restarted_, true)) {
      return;
    }
    for (std::size_t i = 0; i < hosts_.size();
         i += Count(plan_.restart_one_in)) {
      Start(hosts_[i]);
    }
  }

  void NoteKnownOver() {
    const Time over = begun_ + plan_.limited_until;
    for (const Host& host : hosts_) {
      if (now_ > over && !host.exchange->limited_upstreams().empty()) {
        known_over_ = now_ - over;
      }
    }
  }

  LimitModelResult Result() const {
    const double limit = plan_.limit_per_second;
    const Time over = begun_ + plan_.limited_until;
    LimitModelResult result;
    double used = 0;
    for (std::size_t i = 0; i < Count(plan_.limited_upstreams); ++i) {
      const Upstream& upstream = upstreams_[i];
      const Time from = upstream.first_named + kContact;
      if (upstream.first_named == Time() || from >= over) {
        continue;
      }
      const LimitUse use =
          MeasureLimitUse(upstream.arrivals, {limit, from, over});
      result.max_window_ratio =
          std::max(result.max_window_ratio, use.max_window_ratio);
      result.max_informed_window_ratio = std::max(
          result.max_informed_window_ratio, use.max_informed_window_ratio);
      used += use.used_share;
    }
    result.used_share = used / plan_.limited_upstreams;
    result.refused_share = refused_ / requests_;
    result.end_delay_seconds = ToSeconds(known_over_);
    result.bytes_per_host_per_second =
        bytes_ / static_cast<double>(hosts_.size()) /
        ToSeconds(plan_.limited_until - plan_.limited_from);
    return result;
  }

  LimitModelPlan plan_;
  std::mt19937_64 random_;
  const Time begun_{std::chrono::hours(1)};
  Time now_ = begun_;
  std::vector<Upstream> upstreams_;
  std::deque<Host> hosts_;
  std::vector<Work> runs_;
  std::deque<Message> messages_;
  double requests_ = 0;
  double refused_ = 0;
  double bytes_ = 0;
  Duration known_over_{0};
  bool restarted_ = false;
};

}  // namespace

LimitModelResult RunLimitModel(const LimitModelPlan& plan) {
  return LimitPlay(plan).Run();
}

}  // namespace pathcleat
