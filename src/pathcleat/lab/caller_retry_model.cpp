// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/lab/caller_retry_model.hpp"

#include <algorithm>
#include <memory>
#include <random>

#include "pathcleat/core/hash.hpp"
#include "pathcleat/routing/upstream_picker.hpp"
#include "simulated_upstream.hpp"

namespace pathcleat {
namespace {

constexpr const char* kService = "service";
constexpr std::size_t kAnswerBytes = 400;
// Retry-After that a host sends if its picker gives none, as in RequestHandler.
constexpr Duration kDefaultRetryDelay{250'000};
constexpr int kMaxAttempts = 2;

std::string DomainName(int domain) {
  return "domain-" + std::to_string(domain);
}

// A request of a caller, over all its tries.
struct CallerRequest {
  const CallerRetryKind* kind = nullptr;
  const Route* route = nullptr;
  CallerRetryCounts* counts = nullptr;  ///< null: not counted
  std::uint64_t key = 0;
  Time began_at;
  int retries = 0;  ///< retries so far

  Time Deadline() const { return began_at + kind->deadline; }
};
using CallerRequestPtr = std::shared_ptr<CallerRequest>;

struct ModelHost {
  ModelHost(const std::map<std::string, std::string>& regions,
            const PickerSettings& settings)
      : table(regions), picker(settings, table) {}

  UpstreamTable table;
  UpstreamPicker picker;
};

class CallerRetryModel {
 public:
  explicit CallerRetryModel(const CallerRetryPlan& plan)
      : plan_(plan), random_(plan.seed) {
    for (const CallerRetryKind& kind : plan_.kinds) {
      Route route;
      route.name = kind.name;
      route.repeatable = true;
      route.sticky = true;
      route.priority = kind.priority;
      route.target_latency = kind.target_latency;
      route.timeout = kind.deadline;
      route.max_attempts = kMaxAttempts;
      routes_.push_back(route);
      counts_[kind.name];
      weights_.push_back(kind.weight);
    }
    MakeFleet();
  }

  std::map<std::string, CallerRetryCounts> Run() {
    ScheduleArrival();
    const Time at = start_ + plan_.fault.starts_after;
    if (plan_.fault.domain_fails) {
      scheduler_.ScheduleAt(at, [this] { FailDomain(); });
      scheduler_.ScheduleAt(at + plan_.fault.duration,
                            [this] { RestartDomain(); });
    }
    scheduler_.Run();
    return counts_;
  }

 private:
  void MakeFleet() {
    std::map<std::string, std::string> regions;
    for (int d = 0; d < plan_.domains; ++d) {
      regions[DomainName(d)] = "region";
    }
    for (int d = 0; d < plan_.domains; ++d) {
      for (int h = 0; h < plan_.hosts_in_domain; ++h) {
        PickerSettings settings;
        settings.domain = DomainName(d);
        settings.region = "region";
        hosts_.push_back(std::make_unique<ModelHost>(regions, settings));
      }
      for (int i = 0; i < plan_.upstreams_in_domain; ++i) {
        UpstreamInfo info;
        info.id = DomainName(d) + "-" + std::to_string(i);
        info.service = kService;
        info.domain = DomainName(d);
        info.slots = plan_.slots;
        upstream_infos_.push_back(info);
        upstreams_[info.id] = std::make_unique<SimulatedUpstream>(
            scheduler_, random_,
            SimulatedUpstream::Options{
                plan_.slots, plan_.queue_capacity,
                static_cast<std::size_t>(plan_.cached_keys)});
      }
    }
    for (const auto& host : hosts_) {
      for (const UpstreamInfo& info : upstream_infos_) {
        host->table.Put(info, scheduler_.now());
      }
    }
  }

  void FailDomain() {
    for (const UpstreamInfo& info : upstream_infos_) {
      if (info.domain == DomainName(0)) {
        upstreams_[info.id]->Crash();
        for (const auto& host : hosts_) {
          host->table.Remove(info.id);
        }
      }
    }
  }

  // The upstreams restart under new ids, as real upstreams do.
  void RestartDomain() {
    const CallerRetryFault& fault = plan_.fault;
    for (UpstreamInfo info : upstream_infos_) {
      if (info.domain != DomainName(0)) {
        continue;
      }
      SimulatedUpstream* simulated = upstreams_[info.id].get();
      info.id += "-again";
      restarted_[info.id] = simulated;
      info.cold_remaining = fault.cold_requests_per_second > 0
                                ? fault.cold_duration
                                : Duration::zero();
      for (const auto& host : hosts_) {
        host->table.Put(info, scheduler_.now());
        SetColdRate(*host, info.id);
      }
    }
  }

  void SetColdRate(ModelHost& host, const std::string& id) {
    for (const UpstreamPtr& upstream : host.table.ForService(kService)) {
      if (upstream->info.id == id) {
        upstream->rate_share.SetRate(plan_.fault.cold_requests_per_second /
                                         static_cast<double>(hosts_.size()),
                                     scheduler_.now());
      }
    }
  }

  double CurrentLoadFactor() const {
    const Duration since = scheduler_.now() - start_ - plan_.fault.starts_after;
    const bool fault_active =
        since >= Duration::zero() && since < plan_.fault.duration;
    return fault_active ? plan_.fault.load_factor : 1;
  }

  void ScheduleArrival() {
    std::exponential_distribution<double> gap(plan_.requests_per_second *
                                              CurrentLoadFactor());
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
    std::discrete_distribution<std::size_t> draw(weights_.begin(),
                                                 weights_.end());
    const std::size_t index = draw(random_);
    const CallerRetryKind& kind = plan_.kinds[index];
    std::uniform_int_distribution<int> draw_key(0, std::max(1, kind.keys) - 1);
    auto caller_request = std::make_shared<CallerRequest>();
    caller_request->kind = &kind;
    caller_request->route = &routes_[index];
    caller_request->began_at = scheduler_.now();
    const std::uint64_t key =
        kind.keys > 0 ? static_cast<std::uint64_t>(draw_key(random_))
                      : ++unique_keys_;
    caller_request->key = MixHashes(StableHash(kind.name), key);
    if (scheduler_.now() - start_ >= plan_.warm_up) {
      caller_request->counts = &counts_[kind.name];
      ++caller_request->counts->offered;
    }
    Try(caller_request);
  }

  void Try(const CallerRequestPtr& caller_request) {
    std::uniform_int_distribution<std::size_t> draw(0, hosts_.size() - 1);
    ModelHost& host = *hosts_[draw(random_)];
    PickRequest pick_request;
    pick_request.route = caller_request->route;
    pick_request.service = kService;
    pick_request.key = caller_request->key;
    pick_request.sticky = true;
    pick_request.caller_timeout = caller_request->Deadline() - scheduler_.now();
    Attempt(host, caller_request, pick_request);
  }

  void Attempt(ModelHost& host,
               const CallerRequestPtr& caller_request,
               PickRequest pick_request) {
    pick_request.time_left = caller_request->Deadline() - scheduler_.now();
    const Pick pick = host.picker.Choose(pick_request, scheduler_.now());
    if (!pick.upstream) {
      Refuse(caller_request, pick.retry_after);
      return;
    }
    Send(host, caller_request, pick_request, pick);
  }

  void Send(ModelHost& host,
            const CallerRequestPtr& caller_request,
            PickRequest pick_request,
            const Pick& pick) {
    const Time sent = scheduler_.now();
    const Duration one_way = plan_.round_trip / 2;
    host.picker.OnConnected(*pick.upstream, plan_.round_trip);
    pick.upstream->load.OnSent();
    pick.upstream->keys.Touch(caller_request->key);
    if (pick.upstream->IsCold(sent)) {
      pick.upstream->rate_share.TryAcquire(sent);
    }
    pick_request.excluded.insert(pick.upstream->info.id);
    SimulatedUpstream* simulated = SimulatedUpstreamOf(pick.upstream->info.id);
    ModelWork work;
    work.key = caller_request->key;
    work.mean_run_time = caller_request->kind->mean_run_time;
    work.warm_run_share = caller_request->kind->warm_run_share;
    work.deadline = caller_request->Deadline();
    work.done = [=, this, &host](ModelWorkOutcome outcome) {
      const LoadReport report = simulated->Report();
      scheduler_.ScheduleAfter(one_way, [=, this, &host] {
        pick.upstream->load.OnReport(report, scheduler_.now());
        pick.upstream->load.OnEnded();
        if (outcome != ModelWorkOutcome::kCompleted) {
          RetryElsewhere(host, caller_request, pick_request);
          return;
        }
        host.picker.OnAnswer(
            *pick.upstream, pick_request, pick,
            {scheduler_.now() - sent, kAnswerBytes, report.waiting > 0},
            scheduler_.now());
        Finish(caller_request);
      });
    };
    scheduler_.ScheduleAfter(one_way,
                             [simulated, work] { simulated->Offer(work); });
  }

  void RetryElsewhere(ModelHost& host,
                      const CallerRequestPtr& caller_request,
                      const PickRequest& pick_request) {
    if (scheduler_.now() >= caller_request->Deadline()) {
      Fail(caller_request);
      return;
    }
    if (pick_request.excluded.size() < kMaxAttempts) {
      Attempt(host, caller_request, pick_request);
      return;
    }
    Refuse(caller_request, Duration::zero());
  }

  void Refuse(const CallerRequestPtr& caller_request, Duration retry_after) {
    if (caller_request->counts != nullptr) {
      (caller_request->retries == 0
           ? caller_request->counts->told_to_retry
           : caller_request->counts->retries_refused) += 1;
    }
    if (caller_request->retries >= plan_.max_retries) {
      return;
    }
    const Duration left = caller_request->Deadline() - scheduler_.now();
    const Duration max_wait(static_cast<Duration::rep>(
        static_cast<double>(left.count()) * plan_.max_wait_share));
    ++caller_request->retries;
    scheduler_.ScheduleAfter(
        std::min(
            retry_after > Duration::zero() ? retry_after : kDefaultRetryDelay,
            max_wait),
        [this, caller_request] { Try(caller_request); });
  }

  void Fail(const CallerRequestPtr& caller_request) {
    if (caller_request->counts != nullptr) {
      ++caller_request->counts->failed;
    }
  }

  void Finish(const CallerRequestPtr& caller_request) {
    CallerRetryCounts* counts = caller_request->counts;
    if (counts == nullptr) {
      return;
    }
    if (scheduler_.now() > caller_request->Deadline()) {
      Fail(caller_request);
      return;
    }
    const Duration took = scheduler_.now() - caller_request->began_at;
    (took <= caller_request->kind->target_latency ? counts->in_time
                                                  : counts->late) += 1;
    counts->served_at_first_retry += caller_request->retries == 1 ? 1 : 0;
  }

  SimulatedUpstream* SimulatedUpstreamOf(const std::string& id) {
    const auto restarted = restarted_.find(id);
    return restarted == restarted_.end() ? upstreams_[id].get()
                                         : restarted->second;
  }

  CallerRetryPlan plan_;
  std::mt19937_64 random_;
  VirtualScheduler scheduler_;
  Time start_ = scheduler_.now();
  std::vector<Route> routes_;
  std::vector<double> weights_;
  std::vector<UpstreamInfo> upstream_infos_;
  std::map<std::string, std::unique_ptr<SimulatedUpstream>> upstreams_;
  std::map<std::string, SimulatedUpstream*> restarted_;
  std::vector<std::unique_ptr<ModelHost>> hosts_;
  std::map<std::string, CallerRetryCounts> counts_;
  std::uint64_t unique_keys_ = 0;
};

}  // namespace

std::map<std::string, CallerRetryCounts> RunCallerRetryModel(
    const CallerRetryPlan& plan) {
  return CallerRetryModel(plan).Run();
}

}  // namespace pathcleat
