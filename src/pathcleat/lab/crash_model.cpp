// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/lab/crash_model.hpp"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "pathcleat/crashes/crash_tracker.hpp"

namespace pathcleat {
namespace {

constexpr Duration kStep{5'000};
constexpr Duration kTellEvery{500'000};
constexpr RequestDigest kFatal = 1;
constexpr RequestDigest kFirstRepeater = 1'000;
constexpr int kMostAttempts = 2;

class Play {
 public:
  explicit Play(const CrashModelPlan& plan)
      : plan_(plan), random_(plan.seed), upstreams_(plan.upstreams) {
    for (int d = 0; d < plan.domains; ++d) {
      for (int h = 0; h < plan.hosts_in_domain; ++h) {
        const std::string domain = "domain-" + std::to_string(d);
        hosts_.push_back({std::make_unique<CrashTracker>(
                              domain, domain + "-" + std::to_string(h)),
                          d});
      }
    }
    for (int i = 0; i < plan.repeating_callers; ++i) {
      const RequestDigest request =
          kFirstRepeater + static_cast<RequestDigest>(i);
      arrivals_.push_back(
          {request, plan.repeat_interval, now_ + UpTo(plan.repeat_interval)});
    }
    if (plan.fatal_interval > Duration::zero()) {
      arrivals_.push_back(
          {kFatal, plan.fatal_interval, now_ + plan.fatal_interval});
    }
  }

  CrashModelResult Run() {
    const Time end = now_ + plan_.duration;
    for (; now_ < end; now_ += kStep) {
      CrashByThemselves();
      EndRuns();
      Arrive();
      Deliver();
      TellAll();
    }
    return result_;
  }

 private:
  struct Host {
    std::unique_ptr<CrashTracker> ledger;
    int domain;
  };
  struct Upstream {
    std::uint64_t incarnation = 0;
    Time back;
  };
  struct Arrival {
    RequestDigest request;
    Duration every;
    Time next;
  };
  struct Work {
    RequestDigest request;
    std::size_t host;
    std::size_t upstream;
    Time ends;
    int attempt;
  };
  struct Message {
    Time arrives;
    std::size_t to;
    CrashReport report;
  };

  Duration UpTo(Duration most) {
    return Duration(
        std::uniform_int_distribution<std::int64_t>(0, most.count())(random_));
  }
  std::size_t AnyOf(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
  }

  void CrashByThemselves() {
    if (plan_.crashing_share <= 0 || now_ < next_crash_) {
      return;
    }
    if (next_crash_ != Time()) {
      const auto count = static_cast<int>(plan_.crashing_share *
                                          static_cast<double>(plan_.upstreams));
      std::vector<std::size_t> crashing;
      for (int i = 0; i < count; ++i) {
        crashing.push_back(AnyOf(upstreams_.size()));
        upstreams_[crashing.back()].back = now_ + plan_.restart_delay;
      }
      for (const std::size_t index : crashing) {
        Crash(index);
      }
    }
    next_crash_ = now_ + plan_.crash_interval;
  }

  void Crash(std::size_t index) {
    Upstream& upstream = upstreams_[index];
    const std::uint64_t id =
        (upstream.incarnation++ << 16U) + static_cast<std::uint64_t>(index) + 1;
    upstream.back = now_ + plan_.restart_delay;
    std::vector<Work> ended;
    std::erase_if(runs_, [&](const Work& run) {
      if (run.upstream == index) {
        ended.push_back(run);
      }
      return run.upstream == index;
    });
    for (const Work& run : ended) {
      const CrashTracker& ledger = *hosts_[run.host].ledger;
      const bool suspected = ledger.Decide(run.request, now_).crash_count > 0;
      hosts_[run.host].ledger->OnCrash(run.request, id, now_);
      Tell(run.host);
      if (run.attempt < kMostAttempts &&
          (plan_.retry_suspected || !suspected)) {
        Send(run.request, run.host, run.attempt + 1);
      }
    }
  }

  void EndRuns() {
    std::vector<Work> ended;
    std::erase_if(runs_, [&](const Work& run) {
      const bool ends = now_ >= run.ends;
      if (ends) {
        ended.push_back(run);
      }
      return ends;
    });
    for (const Work& run : ended) {
      if (run.request == kFatal) {
        runs_.push_back(run);
        ++result_.fatal_crashes;
        Crash(run.upstream);
      } else if (plan_.answer_clears_request) {
        hosts_[run.host].ledger->OnAnswer(run.request, now_);
        Tell(run.host);
      }
    }
  }

  void Arrive() {
    for (Arrival& arrival : arrivals_) {
      if (now_ >= arrival.next) {
        arrival.next += arrival.every;
        Send(arrival.request, AnyOf(hosts_.size()), 1);
      }
    }
  }

  void Send(RequestDigest request, std::size_t host, int attempt) {
    CrashTracker& ledger = *hosts_[host].ledger;
    const CrashDecision verdict = ledger.Decide(request, now_);
    if (request != kFatal && attempt == 1) {
      ++result_.repeated_requests;
      result_.wrongly_refused += verdict.blocked ? 1 : 0;
      result_.with_two_crashes +=
          verdict.crash_count + 1 >= kCrashBlockThreshold ? 1 : 0;
    }
    if (verdict.blocked) {
      return;
    }
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
      if (now_ >= upstreams_[i].back) {
        up.push_back(i);
      }
    }
    if (up.empty()) {
      return;
    }
    const Duration takes =
        request == kFatal
            ? plan_.fatal_crash_delay
            : Duration(static_cast<std::int64_t>(
                  std::exponential_distribution<double>(1.0)(random_) *
                  static_cast<double>(plan_.mean_run_time.count())));
    runs_.push_back(
        {request, host, up[AnyOf(up.size())], now_ + takes, attempt});
  }

  // As PeerLink does it: each domain's first host tells the other domains.
  void Tell(std::size_t from) {
    Host& host = hosts_[from];
    const bool reports =
        from % static_cast<std::size_t>(plan_.hosts_in_domain) == 0;
    const CrashReport near = host.ledger->OwnCrashes(reports, now_);
    for (std::size_t to = 0; to < hosts_.size(); ++to) {
      if (to != from && hosts_[to].domain == host.domain) {
        Post(to, near);
      }
    }
    if (!reports) {
      return;
    }
    const CrashReport far = host.ledger->DomainCrashes(now_);
    for (int d = 0; d < plan_.domains; ++d) {
      if (d != host.domain) {
        const auto hosts = static_cast<std::size_t>(plan_.hosts_in_domain);
        Post(static_cast<std::size_t>(d) * hosts + AnyOf(hosts), far);
      }
    }
  }

  void Post(std::size_t to, const CrashReport& report) {
    if (!report.entries.empty()) {
      messages_.push_back({now_ + plan_.one_way_delay, to, report});
    }
  }

  void Deliver() {
    while (!messages_.empty() && messages_.front().arrives <= now_) {
      const Message message = messages_.front();
      messages_.pop_front();
      Host& host = hosts_[message.to];
      if (message.report.forward_to_domain) {
        CrashReport passed = message.report;
        passed.forward_to_domain = false;
        for (std::size_t to = 0; to < hosts_.size(); ++to) {
          if (to != message.to && hosts_[to].domain == host.domain) {
            Post(to, passed);
          }
        }
      }
      if (host.ledger->OnCrashReport(message.report, now_)) {
        Tell(message.to);
      }
      result_.max_tracked_requests = std::max(
          result_.max_tracked_requests, static_cast<int>(host.ledger->size()));
    }
  }

  void TellAll() {
    if (now_ < next_tell_) {
      return;
    }
    next_tell_ = now_ + kTellEvery;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      hosts_[i].ledger->Tick(now_);
      Tell(i);
    }
  }

  CrashModelPlan plan_;
  std::mt19937_64 random_;
  Time now_{std::chrono::hours(1)};
  Time next_crash_;
  Time next_tell_;
  std::vector<Host> hosts_;
  std::vector<Upstream> upstreams_;
  std::vector<Arrival> arrivals_;
  std::vector<Work> runs_;
  std::deque<Message> messages_;
  CrashModelResult result_;
};

}  // namespace

CrashModelResult RunCrashModel(const CrashModelPlan& plan) {
  return Play(plan).Run();
}

}  // namespace pathcleat
