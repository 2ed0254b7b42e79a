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
constexpr Duration kReportInterval{500'000};
constexpr RequestDigest kFatalRequest = 1;
constexpr RequestDigest kFirstRepeatedRequest = 1'000;
constexpr int kMaxAttempts = 2;

class CrashModel {
 public:
  explicit CrashModel(const CrashModelPlan& plan)
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
          kFirstRepeatedRequest + static_cast<RequestDigest>(i);
      arrivals_.push_back({request, plan.repeat_interval,
                           now_ + RandomDuration(plan.repeat_interval)});
    }
    if (plan.fatal_interval > Duration::zero()) {
      arrivals_.push_back(
          {kFatalRequest, plan.fatal_interval, now_ + plan.fatal_interval});
    }
  }

  CrashModelResult Run() {
    const Time end = now_ + plan_.duration;
    for (; now_ < end; now_ += kStep) {
      CrashSpontaneously();
      FinishRuns();
      Arrive();
      Deliver();
      SendAllReports();
    }
    return result_;
  }

 private:
  struct Host {
    std::unique_ptr<CrashTracker> tracker;
    int domain;
  };
  struct Upstream {
    std::uint64_t incarnation = 0;
    Time restarts_at;
  };
  struct Arrival {
    RequestDigest request;
    Duration interval;
    Time next_arrival;
  };
  struct Work {
    RequestDigest request;
    std::size_t host;
    std::size_t upstream;
    Time ends_at;
    int attempt;
  };
  struct Message {
    Time arrives_at;
    std::size_t to;
    CrashReport report;
  };

  Duration RandomDuration(Duration max_duration) {
    return Duration(std::uniform_int_distribution<std::int64_t>(
        0, max_duration.count())(random_));
  }
  std::size_t RandomIndex(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
  }

  void CrashSpontaneously() {
    if (plan_.crashing_share <= 0 || now_ < next_crash_time_) {
      return;
    }
    if (next_crash_time_ != Time()) {
      const auto count = static_cast<int>(plan_.crashing_share *
                                          static_cast<double>(plan_.upstreams));
      std::vector<std::size_t> crashing;
      for (int i = 0; i < count; ++i) {
        crashing.push_back(RandomIndex(upstreams_.size()));
        upstreams_[crashing.back()].restarts_at = now_ + plan_.restart_delay;
      }
      for (const std::size_t index : crashing) {
        Crash(index);
      }
    }
    next_crash_time_ = now_ + plan_.crash_interval;
  }

  void Crash(std::size_t index) {
    Upstream& upstream = upstreams_[index];
    const std::uint64_t id =
        (upstream.incarnation++ << 16U) + static_cast<std::uint64_t>(index) + 1;
    upstream.restarts_at = now_ + plan_.restart_delay;
    std::vector<Work> ended;
    std::erase_if(runs_, [&](const Work& run) {
      if (run.upstream == index) {
        ended.push_back(run);
      }
      return run.upstream == index;
    });
    for (const Work& run : ended) {
      const CrashTracker& tracker = *hosts_[run.host].tracker;
      const bool suspected = tracker.Decide(run.request, now_).crash_count > 0;
      hosts_[run.host].tracker->OnCrash(run.request, id, now_);
      SendReports(run.host);
      if (run.attempt < kMaxAttempts && (plan_.retry_suspected || !suspected)) {
        Send(run.request, run.host, run.attempt + 1);
      }
    }
  }

  void FinishRuns() {
    std::vector<Work> ended;
    std::erase_if(runs_, [&](const Work& run) {
      const bool ends_at = now_ >= run.ends_at;
      if (ends_at) {
        ended.push_back(run);
      }
      return ends_at;
    });
    for (const Work& run : ended) {
      if (run.request == kFatalRequest) {
        runs_.push_back(run);
        ++result_.fatal_crashes;
        Crash(run.upstream);
      } else if (plan_.answer_clears_request) {
        hosts_[run.host].tracker->OnAnswer(run.request, now_);
        SendReports(run.host);
      }
    }
  }

  void Arrive() {
    for (Arrival& arrival : arrivals_) {
      if (now_ >= arrival.next_arrival) {
        arrival.next_arrival += arrival.interval;
        Send(arrival.request, RandomIndex(hosts_.size()), 1);
      }
    }
  }

  void Send(RequestDigest request, std::size_t host, int attempt) {
    CrashTracker& tracker = *hosts_[host].tracker;
    const CrashDecision decision = tracker.Decide(request, now_);
    if (request != kFatalRequest && attempt == 1) {
      ++result_.repeated_requests;
      result_.wrongly_refused += decision.blocked ? 1 : 0;
      result_.with_two_crashes +=
          decision.crash_count + 1 >= kCrashBlockThreshold ? 1 : 0;
    }
    if (decision.blocked) {
      return;
    }
    std::vector<std::size_t> available;
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
      if (now_ >= upstreams_[i].restarts_at) {
        available.push_back(i);
      }
    }
    if (available.empty()) {
      return;
    }
    const Duration run_time =
        request == kFatalRequest
            ? plan_.fatal_crash_delay
            : Duration(static_cast<std::int64_t>(
                  std::exponential_distribution<double>(1.0)(random_) *
                  static_cast<double>(plan_.mean_run_time.count())));
    runs_.push_back({request, host, available[RandomIndex(available.size())],
                     now_ + run_time, attempt});
  }

  // As in PeerLink: the first host of each domain also reports to the other
  // domains.
  void SendReports(std::size_t from) {
    Host& host = hosts_[from];
    const bool is_domain_reporter =
        from % static_cast<std::size_t>(plan_.hosts_in_domain) == 0;
    const CrashReport own_crashes =
        host.tracker->OwnCrashes(is_domain_reporter, now_);
    for (std::size_t to = 0; to < hosts_.size(); ++to) {
      if (to != from && hosts_[to].domain == host.domain) {
        Post(to, own_crashes);
      }
    }
    if (!is_domain_reporter) {
      return;
    }
    const CrashReport domain_crashes = host.tracker->DomainCrashes(now_);
    for (int d = 0; d < plan_.domains; ++d) {
      if (d != host.domain) {
        const auto hosts = static_cast<std::size_t>(plan_.hosts_in_domain);
        Post(static_cast<std::size_t>(d) * hosts + RandomIndex(hosts),
             domain_crashes);
      }
    }
  }

  void Post(std::size_t to, const CrashReport& report) {
    if (!report.entries.empty()) {
      messages_.push_back({now_ + plan_.one_way_delay, to, report});
    }
  }

  void Deliver() {
    while (!messages_.empty() && messages_.front().arrives_at <= now_) {
      const Message message = messages_.front();
      messages_.pop_front();
      Host& host = hosts_[message.to];
      if (message.report.forward_to_domain) {
        CrashReport forwarded = message.report;
        forwarded.forward_to_domain = false;
        for (std::size_t to = 0; to < hosts_.size(); ++to) {
          if (to != message.to && hosts_[to].domain == host.domain) {
            Post(to, forwarded);
          }
        }
      }
      if (host.tracker->OnCrashReport(message.report, now_)) {
        SendReports(message.to);
      }
      result_.max_tracked_requests = std::max(
          result_.max_tracked_requests, static_cast<int>(host.tracker->size()));
    }
  }

  void SendAllReports() {
    if (now_ < next_report_time_) {
      return;
    }
    next_report_time_ = now_ + kReportInterval;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      hosts_[i].tracker->Tick(now_);
      SendReports(i);
    }
  }

  CrashModelPlan plan_;
  std::mt19937_64 random_;
  Time now_{std::chrono::hours(1)};
  Time next_crash_time_;
  Time next_report_time_;
  std::vector<Host> hosts_;
  std::vector<Upstream> upstreams_;
  std::vector<Arrival> arrivals_;
  std::vector<Work> runs_;
  std::deque<Message> messages_;
  CrashModelResult result_;
};

}  // namespace

CrashModelResult RunCrashModel(const CrashModelPlan& plan) {
  return CrashModel(plan).Run();
}

}  // namespace pathcleat
