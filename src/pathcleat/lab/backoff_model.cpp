// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/lab/backoff_model.hpp"

#include <algorithm>
#include <iomanip>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <vector>

#include "pathcleat/core/hash.hpp"
#include "pathcleat/routing/upstream_picker.hpp"
#include "simulated_upstream.hpp"
#include "virtual_scheduler.hpp"

namespace pathcleat {
namespace {

constexpr const char* kService = "service";
constexpr Duration kTickInterval{250'000};
constexpr Duration kGrace{500'000};
constexpr Duration kBurstWindow{100'000};
constexpr std::size_t kMaxAttempts = 2;
constexpr std::size_t kCachedKeys = 50;
// Errors that a hint about an upstream counts for.
constexpr int kHintErrors = 2;
// Requests later than this after the end of the need count as afterwards.
constexpr Duration kAftermath{4'000'000};

std::string DomainName(int domain) {
  return "domain-" + std::to_string(domain);
}

std::map<std::string, std::string> RegionOfDomain(int domains) {
  std::map<std::string, std::string> regions;
  for (int d = 0; d < domains; ++d) {
    regions[DomainName(d)] = DomainName(d);
  }
  return regions;
}

PickerSettings SettingsOf(int domain, BackoffStrategy strategy) {
  PickerSettings settings;
  settings.domain = DomainName(domain);
  settings.region = DomainName(domain);
  if (strategy == BackoffStrategy::kIgnored) {
    settings.policy.disabled = {Mechanism::kErrorShare};
  }
  return settings;
}

struct Host {
  Host(const BackoffModelPlan& plan, int own_domain, std::string own_name)
      : domain(own_domain),
        name(std::move(own_name)),
        table(RegionOfDomain(plan.domains)),
        picker(SettingsOf(own_domain, plan.strategy), table) {}

  int domain;
  std::string name;
  UpstreamTable table;
  UpstreamPicker picker;
  /// End of the time without requests that each upstream asked this host for,
  /// and the moment from which arrivals in it count.
  struct Asked {
    Time from;
    Time until;
    int arrivals = 0;
  };
  std::map<std::string, Asked> asked;
};

struct Upstream {
  Upstream(VirtualScheduler& scheduler,
           std::mt19937_64& random,
           const BackoffModelPlan& plan,
           int own_domain,
           bool is_rejecting)
      : domain(own_domain),
        rejecting(is_rejecting),
        work(scheduler,
             random,
             {plan.slots, plan.queue_capacity, kCachedKeys}) {}

  int domain;
  bool rejecting;
  SimulatedUpstream work;
  std::vector<Time> arrivals;
};

struct Request {
  bool counted = false;
  bool afterwards = false;  ///< arrived long after the end
  std::uint64_t key = 0;
  std::set<std::string> tried;
};

class BackoffModel {
 public:
  explicit BackoffModel(const BackoffModelPlan& plan)
      : plan_(plan), random_(plan.seed) {
    route_.name = "route";
    route_.repeatable = true;
    route_.target_latency = Duration(400'000);
    route_.timeout = Duration(3'000'000);
    MakeFleet();
  }

  BackoffModelResult Run() {
    ScheduleArrival();
    ScheduleTick();
    scheduler_.Run();
    for (const auto& [id, upstream] : upstreams_) {
      CountReturnBurst(*upstream);
    }
    return result_;
  }

 private:
  using HostPtr = Host*;

  Time End() const { return start_ + plan_.rejecting_until; }
  bool IsRejecting(const Upstream& upstream) const {
    const Time now = scheduler_.now();
    return upstream.rejecting && now >= start_ + plan_.rejecting_from &&
           now < End();
  }

  void MakeFleet() {
    std::vector<UpstreamInfo> list;
    for (int i = 0; i < plan_.upstreams_in_domain; ++i) {
      for (int d = 0; d < plan_.domains; ++d) {
        UpstreamInfo info;
        info.id = "u-" + std::to_string(d) + "-" + std::to_string(i);
        info.service = kService;
        info.domain = DomainName(d);
        info.slots = plan_.slots;
        const bool rejecting =
            static_cast<int>(list.size()) < plan_.rejecting_upstreams;
        list.push_back(info);
        upstreams_[info.id] = std::make_unique<Upstream>(scheduler_, random_,
                                                         plan_, d, rejecting);
      }
    }
    for (int d = 0; d < plan_.domains; ++d) {
      for (int h = 0; h < plan_.hosts_in_domain; ++h) {
        hosts_.push_back(std::make_unique<Host>(
            plan_, d, "h-" + std::to_string(d) + "-" + std::to_string(h)));
        for (const UpstreamInfo& info : list) {
          hosts_.back()->table.Put(info, scheduler_.now());
        }
      }
    }
  }

  void ScheduleTick() {
    scheduler_.ScheduleAfter(kTickInterval, [this] {
      CountCascade();
      for (const auto& host : hosts_) {
        host->table.EndBackoffs(scheduler_.now());
      }
      if (scheduler_.now() - start_ < plan_.duration) {
        ScheduleTick();
      }
    });
  }

  void CountCascade() {
    std::set<std::string> affected;
    for (const auto& host : hosts_) {
      for (const UpstreamPtr& upstream : host->table.BackingOff()) {
        if (!upstreams_.at(upstream->info.id)->rejecting) {
          affected.insert(upstream->info.id);
        }
      }
    }
    result_.max_cascade =
        std::max(result_.max_cascade, static_cast<int>(affected.size()));
  }

  void CountReturnBurst(const Upstream& upstream) {
    if (!upstream.rejecting) {
      return;
    }
    const auto& arrivals = upstream.arrivals;
    for (auto first = std::lower_bound(arrivals.begin(), arrivals.end(), End());
         first != arrivals.end() && *first < End() + plan_.retry_after * 2;
         ++first) {
      const auto end =
          std::lower_bound(first, arrivals.end(), *first + kBurstWindow);
      result_.max_return_burst =
          std::max(result_.max_return_burst, static_cast<int>(end - first));
    }
  }

  void ScheduleArrival() {
    std::exponential_distribution<double> gap(plan_.requests_per_second);
    constexpr double kMicros = 1e6;
    scheduler_.ScheduleAfter(
        Duration(static_cast<Duration::rep>(gap(random_) * kMicros)), [this] {
          if (scheduler_.now() - start_ < plan_.duration) {
            Arrive();
            ScheduleArrival();
          }
        });
  }

  void Arrive() {
    Request request;
    request.counted = scheduler_.now() >= start_ + plan_.rejecting_from;
    request.afterwards = scheduler_.now() >= End() + kAftermath;
    result_.offered_afterwards += request.afterwards ? 1 : 0;
    request.key = random_();
    result_.offered += request.counted ? 1 : 0;
    std::uniform_int_distribution<std::size_t> draw(0, hosts_.size() - 1);
    Attempt(*hosts_[draw(random_)], request);
  }

  PickRequest ToPickRequest(const Request& request) const {
    PickRequest pick;
    pick.route = &route_;
    pick.service = kService;
    pick.key = request.key;
    pick.time_left = route_.timeout;
    pick.caller_timeout = route_.timeout;
    pick.excluded = request.tried;
    return pick;
  }

  void Attempt(Host& host, Request request) {
    const Pick pick =
        host.picker.Choose(ToPickRequest(request), scheduler_.now());
    if (!pick.upstream) {
      const bool was_tried = !request.tried.empty();
      result_.rejected += request.counted && was_tried ? 1 : 0;
      result_.refused += request.counted && !was_tried ? 1 : 0;
      return;
    }
    request.tried.insert(pick.upstream->info.id);
    SendReservation held;
    host.table.Reserve(*pick.upstream, held, scheduler_.now());
    pick.upstream->load.OnSent();
    pick.upstream->health.OnSent(pick.expected_latency, scheduler_.now());
    Upstream* target = upstreams_.at(pick.upstream->info.id).get();
    const Duration one_way =
        target->domain == host.domain ? Duration(500) : plan_.one_way_delay;
    scheduler_.ScheduleAfter(one_way, [this, &host, request, pick, held, target,
                                       one_way, sent = scheduler_.now()] {
      const auto on_done = [=, this, &host](ModelWorkOutcome outcome) {
        Answer(host, request, pick, held, target, sent, one_way,
               outcome == ModelWorkOutcome::kCompleted);
      };
      CountArrival(host, pick.upstream->info.id, *target);
      if (IsRejecting(*target)) {
        on_done(ModelWorkOutcome::kNotRun);
        return;
      }
      ModelWork work;
      work.key = request.key;
      work.mean_run_time = plan_.mean_run_time;
      work.deadline = scheduler_.now() + route_.timeout;
      work.done = on_done;
      target->work.Offer(work);
    });
  }

  void CountArrival(Host& host, const std::string& id, Upstream& target) {
    const Time now = scheduler_.now();
    target.arrivals.push_back(now);
    Host::Asked& asked = host.asked[id];
    if (now >= asked.from && now < asked.until) {
      ++asked.arrivals;
      result_.max_in_backoff = std::max(result_.max_in_backoff, asked.arrivals);
    }
  }

  void Answer(Host& host,
              const Request& request,
              const Pick& pick,
              SendReservation held,
              Upstream* target,
              Time sent,
              Duration one_way,
              bool ran) {
    if (!ran) {
      ++result_.wasted_attempts;
      Host::Asked& asked = host.asked[pick.upstream->info.id];
      if (scheduler_.now() >= asked.until) {
        asked = {scheduler_.now() + kGrace,
                 scheduler_.now() + plan_.retry_after, 0};
      }
    }
    const LoadReport report = target->work.Report();
    scheduler_.ScheduleAfter(one_way, [=, this, &host]() mutable {
      const Time now = scheduler_.now();
      UpstreamState& upstream = *pick.upstream;
      upstream.load.OnReport(report, now);
      upstream.load.OnEnded();
      upstream.health.OnResponse(now);
      upstream.health.OnEnded();
      if (ran) {
        upstream.health.OnSuccess();
        upstream.backoff.OnAccepted(sent);
      } else {
        OnRejected(host, pick.upstream, report);
      }
      host.table.Release(upstream, held, true, now);
      if (ran || report.running < report.slots) {
        host.picker.OnOutcome(upstream, !ran, now);
      }
      if (ran) {
        result_.served += request.counted ? 1 : 0;
        result_.served_afterwards += request.afterwards ? 1 : 0;
        host.picker.OnAnswer(upstream, ToPickRequest(request), pick,
                             {now - sent, 0, report.waiting > 0}, now);
      } else if (request.tried.size() < kMaxAttempts) {
        Attempt(host, request);
      } else {
        result_.rejected += request.counted ? 1 : 0;
      }
    });
  }

  void OnRejected(Host& host,
                  const UpstreamPtr& upstream,
                  const LoadReport& report) {
    const Time now = scheduler_.now();
    switch (plan_.strategy) {
      case BackoffStrategy::kIgnored:
        return;
      case BackoffStrategy::kSuspended:
        upstream->health.OnFailure(now);
        return;
      case BackoffStrategy::kHostAtOnce:
        host.table.StartBackoff(upstream, plan_.retry_after, 0, now);
        upstream->backoff.OnAccepted(Time::max());
        return;
      case BackoffStrategy::kHostWithTrials:
        Start(host, *upstream);
        return;
      case BackoffStrategy::kDomainHint:
        Start(host, *upstream);
        for (const auto& other : hosts_) {
          if (other->domain == host.domain && report.running < report.slots) {
            HintAt(*other, *upstream);
          }
        }
        return;
      case BackoffStrategy::kDomain:
        for (const auto& other : hosts_) {
          if (other->domain == host.domain) {
            Start(*other, *upstream);
          }
        }
        return;
    }
  }

  void HintAt(Host& host, const UpstreamState& upstream) {
    ErrorShare& errors = host.table.Find(upstream.info.id)->errors;
    for (int i = 0; i < kHintErrors; ++i) {
      errors.OnAnswer(true, scheduler_.now());
    }
  }

  void Start(Host& host, const UpstreamState& upstream) {
    const double spread =
        ToUnitInterval(MixHashes(upstream.hash, StableHash(host.name)));
    host.table.StartBackoff(host.table.Find(upstream.info.id),
                            plan_.retry_after, spread, scheduler_.now());
  }

  BackoffModelPlan plan_;
  std::mt19937_64 random_;
  VirtualScheduler scheduler_;
  Time start_ = scheduler_.now();
  Route route_;
  std::map<std::string, std::unique_ptr<Upstream>> upstreams_;
  std::vector<std::unique_ptr<Host>> hosts_;
  BackoffModelResult result_;
};

struct BackoffCase {
  const char* name;
  BackoffModelPlan plan;
};

std::vector<BackoffCase> Cases() {
  std::vector<BackoffCase> cases(5);
  cases[0].name = "9 hosts, 8 of 24 reject";
  cases[1].name = "9 hosts, 8 of 24 reject, high load";
  cases[1].plan.requests_per_second = 270;
  cases[2].name = "9 hosts, all 24 reject";
  cases[2].plan.rejecting_upstreams = 24;
  cases[3].name = "9 hosts, 8 of 24 reject, 0.7 s";
  cases[3].plan.retry_after = Duration(700'000);
  cases[4].name = "150 hosts, 8 of 24 reject";
  cases[4].plan.hosts_in_domain = 50;
  return cases;
}

}  // namespace

const char* ToString(BackoffStrategy strategy) {
  switch (strategy) {
    case BackoffStrategy::kIgnored:
      return "ignored";
    case BackoffStrategy::kSuspended:
      return "as a failure";
    case BackoffStrategy::kHostAtOnce:
      return "host, back at once";
    case BackoffStrategy::kHostWithTrials:
      return "host, spread and trials";
    case BackoffStrategy::kDomainHint:
      return "host; its domain avoids it";
    case BackoffStrategy::kDomain:
      return "domain, spread and trials";
  }
  return "";
}

BackoffModelResult RunBackoffModel(const BackoffModelPlan& plan) {
  return BackoffModel(plan).Run();
}

std::string MeasureBackoffs(int seeds) {
  std::ostringstream text;
  text << "| fleet | strategy | served | refused at once | rejected | attempts "
          "rejected | of one host in a backoff | others that reject | return "
          "burst | served afterwards |\n"
          "|---|---|---|---|---|---|---|---|---|---|\n"
       << std::fixed << std::setprecision(3);
  for (const BackoffCase& item : Cases()) {
    for (const BackoffStrategy strategy :
         {BackoffStrategy::kIgnored, BackoffStrategy::kSuspended,
          BackoffStrategy::kHostAtOnce, BackoffStrategy::kHostWithTrials,
          BackoffStrategy::kDomainHint, BackoffStrategy::kDomain}) {
      BackoffModelResult sum;
      for (int seed = 1; seed <= seeds; ++seed) {
        BackoffModelPlan plan = item.plan;
        plan.strategy = strategy;
        plan.seed = static_cast<std::uint64_t>(seed);
        const BackoffModelResult result = RunBackoffModel(plan);
        sum.offered += result.offered;
        sum.served += result.served;
        sum.refused += result.refused;
        sum.rejected += result.rejected;
        sum.wasted_attempts += result.wasted_attempts;
        sum.max_in_backoff =
            std::max(sum.max_in_backoff, result.max_in_backoff);
        sum.max_cascade = std::max(sum.max_cascade, result.max_cascade);
        sum.max_return_burst =
            std::max(sum.max_return_burst, result.max_return_burst);
        sum.offered_afterwards += result.offered_afterwards;
        sum.served_afterwards += result.served_afterwards;
      }
      const double offered = std::max(1, sum.offered);
      text << "| " << item.name << " | " << ToString(strategy) << " | "
           << sum.served / offered << " | " << sum.refused / offered << " | "
           << sum.rejected / offered << " | " << sum.wasted_attempts / offered
           << " | " << sum.max_in_backoff << " | " << sum.max_cascade << " | "
           << sum.max_return_burst << " | "
           << sum.served_afterwards /
                  std::max(1.0, 1.0 * sum.offered_afterwards)
           << " |\n";
    }
  }
  return text.str();
}

}  // namespace pathcleat
