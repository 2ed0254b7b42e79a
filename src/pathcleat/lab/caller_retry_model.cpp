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
// What a host tells when its picker names no time, as Call does.
constexpr Duration kToldElse{250'000};
constexpr int kMostAttempts = 2;

std::string DomainName(int domain) {
  return "domain-" + std::to_string(domain);
}

// One caller's request, over all its tries.
struct Asked {
  const CallerRetryKind* kind = nullptr;
  const Route* route = nullptr;
  CallerRetryCounts* counts = nullptr;  ///< null: not counted
  std::uint64_t key = 0;
  Time began;
  int returns = 0;  ///< times that it has come back

  Time Deadline() const { return began + kind->deadline; }
};
using AskedPtr = std::shared_ptr<Asked>;

struct ReturnHost {
  ReturnHost(const std::map<std::string, std::string>& regions,
             const PickerSettings& settings)
      : table(regions), picker(settings, table) {}

  UpstreamTable table;
  UpstreamPicker picker;
};

class ReturnModel {
 public:
  explicit ReturnModel(const CallerRetryPlan& plan)
      : plan_(plan), random_(plan.seed) {
    for (const CallerRetryKind& kind : plan_.kinds) {
      Route route;
      route.name = kind.name;
      route.repeatable = true;
      route.sticky = true;
      route.priority = kind.priority;
      route.target_latency = kind.target_latency;
      route.timeout = kind.deadline;
      route.max_attempts = kMostAttempts;
      routes_.push_back(route);
      counts_[kind.name];
      weights_.push_back(kind.weight);
    }
    MakeFleet();
  }

  std::map<std::string, CallerRetryCounts> Run() {
    ScheduleArrival();
    const Time at = start_ + plan_.fault.at;
    if (plan_.fault.domain_fails) {
      agenda_.ScheduleAt(at, [this] { LoseDomain(); });
      agenda_.ScheduleAt(at + plan_.fault.duration, [this] { ReturnDomain(); });
    }
    agenda_.Run();
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
        hosts_.push_back(std::make_unique<ReturnHost>(regions, settings));
      }
      for (int i = 0; i < plan_.upstreams_in_domain; ++i) {
        UpstreamInfo info;
        info.id = DomainName(d) + "-" + std::to_string(i);
        info.service = kService;
        info.domain = DomainName(d);
        info.slots = plan_.slots;
        list_.push_back(info);
        upstreams_[info.id] = std::make_unique<SimulatedUpstream>(
            agenda_, random_,
            SimulatedUpstream::Options{
                plan_.slots, plan_.queue_capacity,
                static_cast<std::size_t>(plan_.cached_keys)});
      }
    }
    for (const auto& host : hosts_) {
      for (const UpstreamInfo& info : list_) {
        host->table.Put(info, agenda_.now());
      }
    }
  }

  void LoseDomain() {
    for (const UpstreamInfo& info : list_) {
      if (info.domain == DomainName(0)) {
        upstreams_[info.id]->Crash();
        for (const auto& host : hosts_) {
          host->table.Remove(info.id);
        }
      }
    }
  }

  // They come back under new names, as upstreams that start do.
  void ReturnDomain() {
    const CallerRetryFault& trouble = plan_.fault;
    for (UpstreamInfo info : list_) {
      if (info.domain != DomainName(0)) {
        continue;
      }
      SimulatedUpstream* queue = upstreams_[info.id].get();
      info.id += "-again";
      again_[info.id] = queue;
      info.cold_remaining = trouble.cold_requests_per_second > 0
                                ? trouble.cold_duration
                                : Duration::zero();
      for (const auto& host : hosts_) {
        host->table.Put(info, agenda_.now());
        ShareRates(*host, info.id);
      }
    }
  }

  void ShareRates(ReturnHost& host, const std::string& id) {
    for (const UpstreamPtr& upstream : host.table.ForService(kService)) {
      if (upstream->info.id == id) {
        upstream->rate_share.SetRate(plan_.fault.cold_requests_per_second /
                                         static_cast<double>(hosts_.size()),
                                     agenda_.now());
      }
    }
  }

  double LoadNow() const {
    const Duration since = agenda_.now() - start_ - plan_.fault.at;
    const bool troubled =
        since >= Duration::zero() && since < plan_.fault.duration;
    return troubled ? plan_.fault.load_factor : 1;
  }

  void ScheduleArrival() {
    std::exponential_distribution<double> gap(plan_.requests_per_second *
                                              LoadNow());
    constexpr double kMicros = 1e6;
    agenda_.ScheduleAfter(
        Duration(static_cast<Duration::rep>(gap(random_) * kMicros)), [this] {
          if (agenda_.now() - start_ < plan_.duration) {
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
    auto asked = std::make_shared<Asked>();
    asked->kind = &kind;
    asked->route = &routes_[index];
    asked->began = agenda_.now();
    const std::uint64_t key =
        kind.keys > 0 ? static_cast<std::uint64_t>(draw_key(random_))
                      : ++lone_keys_;
    asked->key = MixHashes(StableHash(kind.name), key);
    if (agenda_.now() - start_ >= plan_.warm_up) {
      asked->counts = &counts_[kind.name];
      ++asked->counts->offered;
    }
    Try(asked);
  }

  void Try(const AskedPtr& asked) {
    std::uniform_int_distribution<std::size_t> draw(0, hosts_.size() - 1);
    ReturnHost& host = *hosts_[draw(random_)];
    PickRequest request;
    request.route = asked->route;
    request.service = kService;
    request.key = asked->key;
    request.sticky = true;
    request.caller_timeout = asked->Deadline() - agenda_.now();
    Attempt(host, asked, request);
  }

  void Attempt(ReturnHost& host, const AskedPtr& asked, PickRequest request) {
    request.time_left = asked->Deadline() - agenda_.now();
    const Pick pick = host.picker.Choose(request, agenda_.now());
    if (!pick.upstream) {
      Refuse(asked, pick.retry_after);
      return;
    }
    Send(host, asked, request, pick);
  }

  void Send(ReturnHost& host,
            const AskedPtr& asked,
            PickRequest request,
            const Pick& pick) {
    const Time sent = agenda_.now();
    const Duration one_way = plan_.round_trip / 2;
    host.picker.OnConnected(*pick.upstream, plan_.round_trip);
    pick.upstream->load.OnSent();
    pick.upstream->keys.Touch(asked->key);
    if (pick.upstream->IsCold(sent)) {
      pick.upstream->rate_share.TryAcquire(sent);
    }
    request.excluded.insert(pick.upstream->info.id);
    SimulatedUpstream* queue = QueueOf(pick.upstream->info.id);
    ModelWork work;
    work.key = asked->key;
    work.mean_run_time = asked->kind->mean_run_time;
    work.warm_run_share = asked->kind->warm_run_share;
    work.deadline = asked->Deadline();
    work.done = [=, this, &host](ModelWorkOutcome end) {
      const LoadReport report = queue->Report();
      agenda_.ScheduleAfter(one_way, [=, this, &host] {
        pick.upstream->load.OnReport(report, agenda_.now());
        pick.upstream->load.OnEnded();
        if (end != ModelWorkOutcome::kRan) {
          TryElsewhere(host, asked, request);
          return;
        }
        host.picker.OnAnswer(
            *pick.upstream, request, pick,
            {agenda_.now() - sent, kAnswerBytes, report.waiting > 0},
            agenda_.now());
        Finish(asked);
      });
    };
    agenda_.ScheduleAfter(one_way, [queue, work] { queue->Offer(work); });
  }

  void TryElsewhere(ReturnHost& host,
                    const AskedPtr& asked,
                    const PickRequest& request) {
    if (agenda_.now() >= asked->Deadline()) {
      Fail(asked);
      return;
    }
    if (request.excluded.size() < kMostAttempts) {
      Attempt(host, asked, request);
      return;
    }
    Refuse(asked, Duration::zero());
  }

  void Refuse(const AskedPtr& asked, Duration told) {
    if (asked->counts != nullptr) {
      (asked->returns == 0 ? asked->counts->told_to_retry
                           : asked->counts->retries_refused) += 1;
    }
    if (asked->returns >= plan_.max_retries) {
      return;
    }
    const Duration left = asked->Deadline() - agenda_.now();
    const Duration heeded(static_cast<Duration::rep>(
        static_cast<double>(left.count()) * plan_.max_wait_share));
    ++asked->returns;
    agenda_.ScheduleAfter(
        std::min(told > Duration::zero() ? told : kToldElse, heeded),
        [this, asked] { Try(asked); });
  }

  void Fail(const AskedPtr& asked) {
    if (asked->counts != nullptr) {
      ++asked->counts->failed;
    }
  }

  void Finish(const AskedPtr& asked) {
    CallerRetryCounts* counts = asked->counts;
    if (counts == nullptr) {
      return;
    }
    if (agenda_.now() > asked->Deadline()) {
      Fail(asked);
      return;
    }
    const Duration took = agenda_.now() - asked->began;
    (took <= asked->kind->target_latency ? counts->in_time : counts->late) += 1;
    counts->served_at_first_retry += asked->returns == 1 ? 1 : 0;
  }

  SimulatedUpstream* QueueOf(const std::string& id) {
    const auto again = again_.find(id);
    return again == again_.end() ? upstreams_[id].get() : again->second;
  }

  CallerRetryPlan plan_;
  std::mt19937_64 random_;
  VirtualScheduler agenda_;
  Time start_ = agenda_.now();
  std::vector<Route> routes_;
  std::vector<double> weights_;
  std::vector<UpstreamInfo> list_;
  std::map<std::string, std::unique_ptr<SimulatedUpstream>> upstreams_;
  std::map<std::string, SimulatedUpstream*> again_;
  std::vector<std::unique_ptr<ReturnHost>> hosts_;
  std::map<std::string, CallerRetryCounts> counts_;
  std::uint64_t lone_keys_ = 0;
};

}  // namespace

std::map<std::string, CallerRetryCounts> RunCallerRetryModel(
    const CallerRetryPlan& plan) {
  return ReturnModel(plan).Run();
}

}  // namespace pathcleat
