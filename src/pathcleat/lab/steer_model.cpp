// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/lab/steer_model.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

#include "pathcleat/lab/load_generator.hpp"
#include "pathcleat/steer/retry_budget.hpp"
#include "pathcleat/steer/view_table.hpp"

namespace pathcleat {
namespace {

constexpr ServiceIndex kService{0};
constexpr double kRetryShare = 0.2;
constexpr double kRetryBurst = 20;
constexpr int kMostAttempts = 3;
constexpr double kWarmUpShare = 0.1;

// Events in order of time, then of their making.
class EventQueue {
 public:
  void At(Time time, std::function<void()> action) {
    events_.push({time, next_++, std::move(action)});
  }
  bool RunNext() {
    if (events_.empty()) {
      return false;
    }
    const Event event = events_.top();
    events_.pop();
    now_ = event.time;
    event.action();
    return true;
  }
  Time now() const { return now_; }

 private:
  struct Event {
    Time time;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };
  std::priority_queue<Event> events_;
  std::uint64_t next_ = 0;
  Time now_;
};

struct Request {
  RequestId id;
  Priority priority = Priority::kLookup;
  int host = 0;
  Time arrived;
  Time deadline;
  Duration service;
  std::vector<int> tried;
  bool counted = true;
};
using RequestPtr = std::shared_ptr<Request>;

class Model {
 public:
  explicit Model(const ModelPlan& plan)
      : plan_(plan),
        random_(plan.seed),
        hosts_(static_cast<std::size_t>(HostCount())) {
    for (int h = 0; h < HostCount(); ++h) {
      hosts_[Slot(h)].random.seed(plan.seed * 1'000 + Slot(h));
    }
    MakeOwners();
  }

  ModelResult Run() {
    ScheduleArrival();
    ScheduleReports();
    while (events_.RunNext()) {
    }
    return Summarize();
  }

 private:
  struct Owner {
    int host = 0;
    std::unique_ptr<OwnerTable> table;
    std::map<RequestId, RequestPtr> waiting;
  };
  struct Host {
    ViewTable views;
    RetryBudget retries{kRetryShare, kRetryBurst};
    std::mt19937_64 random;
  };

  static std::size_t Slot(int index) { return static_cast<std::size_t>(index); }
  int HostCount() const { return plan_.regions * plan_.hosts_in_region; }
  int RegionOf(int host) const { return host / plan_.hosts_in_region; }
  int AllSlots() const {
    return plan_.regions * plan_.instances_in_region * plan_.slots;
  }

  Duration Network(int from, int to) const {
    if (plan_.serving == ModelServing::kSharedQueue || from == to) {
      return Duration::zero();
    }
    return RegionOf(from) == RegionOf(to) ? plan_.latency_in_region
                                          : plan_.latency_between_regions;
  }

  // Instances are dealt to the hosts of their region; with the shared queue
  // one owner has them all.
  void MakeOwners() {
    const bool shared = plan_.serving == ModelServing::kSharedQueue;
    owners_.resize(shared ? 1 : hosts_.size());
    for (std::size_t i = 0; i < owners_.size(); ++i) {
      owners_[i].host = static_cast<int>(i);
      owners_[i].table = std::make_unique<OwnerTable>(plan_.owner);
    }
    std::uint16_t next = 0;
    for (int r = 0; r < plan_.regions; ++r) {
      for (int i = 0; i < plan_.instances_in_region; ++i) {
        const int host = r * plan_.hosts_in_region + i % plan_.hosts_in_region;
        Owner& owner = owners_[shared ? 0 : Slot(host)];
        owner.table->slots().Add({next++}, kService, plan_.slots, Time{});
      }
    }
    in_flight_.resize(next, 0);
  }

  void ScheduleArrival() {
    const double per_micro = plan_.load * AllSlots() /
                             static_cast<double>(plan_.service_time.count());
    std::exponential_distribution<double> gap(per_micro);
    const Time at =
        events_.now() + Duration(static_cast<Duration::rep>(gap(random_)));
    if (at - Time{} > plan_.length) {
      return;
    }
    events_.At(at, [this] {
      Arrive();
      ScheduleArrival();
    });
  }

  void Arrive() {
    auto request = std::make_shared<Request>();
    std::discrete_distribution<int> region(plan_.region_share.begin(),
                                           plan_.region_share.end());
    std::discrete_distribution<int> priority(plan_.priority_share.begin(),
                                             plan_.priority_share.end());
    std::uniform_int_distribution<int> host(0, plan_.hosts_in_region - 1);
    std::exponential_distribution<double> service(
        1.0 / static_cast<double>(plan_.service_time.count()));
    request->id = {1, ++next_id_, 0};
    request->host = region(random_) * plan_.hosts_in_region + host(random_);
    request->priority = static_cast<Priority>(priority(random_));
    request->arrived = events_.now();
    request->deadline =
        request->arrived + plan_.deadline[Slot(int(request->priority))];
    request->service =
        Duration(static_cast<Duration::rep>(service(random_)) + 1);
    request->counted = static_cast<double>((events_.now() - Time{}).count()) >
                       kWarmUpShare * static_cast<double>(plan_.length.count());
    if (request->counted) {
      ++ClassOf(request).offered;
    }
    hosts_[Slot(request->host)].retries.OnFirstAttempt();
    Route(request);
  }

  void Route(const RequestPtr& request) {
    const int target = Choose(request);
    if (target < 0) {
      Refused(request);
      return;
    }
    attempts_ += request->counted ? 1 : 0;
    Host& host = hosts_[Slot(request->host)];
    host.views.OnSent(static_cast<std::uint32_t>(target), kService);
    events_.At(events_.now() + Network(request->host, target),
               [this, request, target] { Submit(request, target); });
  }

  int Choose(const RequestPtr& request) {
    if (plan_.serving == ModelServing::kSharedQueue) {
      return request->tried.empty() ? 0 : -1;
    }
    Host& host = hosts_[Slot(request->host)];
    std::vector<RouteCandidate> candidates;
    for (int target = 0; target < HostCount(); ++target) {
      const bool tried = std::find(request->tried.begin(), request->tried.end(),
                                   target) != request->tried.end();
      const auto key = static_cast<std::uint32_t>(target);
      if (tried) {
        continue;
      }
      if (target == request->host) {
        const PoolLoad own =
            owners_[Slot(target)].table->Load(kService, events_.now());
        candidates.push_back(
            {key, Duration::zero(), {own, events_.now(), 0, 0}});
      } else if (const PoolView* view = host.views.Find(key, kService)) {
        candidates.push_back({key, Network(request->host, target), *view});
      }
    }
    const auto choice = ChooseRoute(plan_.policy, candidates, events_.now(),
                                    host.random, false);
    return choice ? static_cast<int>(choice->target) : -1;
  }

  void Submit(const RequestPtr& request, int target) {
    Owner& owner = owners_[Slot(target)];
    owner.waiting[request->id] = request;
    Act(target, owner.table->Submit({request->id, kService, request->priority,
                                     request->deadline},
                                    events_.now()));
  }

  void Act(int target, const OwnerActions& actions) {
    Owner& owner = owners_[Slot(target)];
    for (const SlotGrant& grant : actions.grants) {
      const auto node = owner.waiting.extract(grant.id);
      Serve(node.mapped(), target, grant.token);
    }
    for (const RefusedWork& refused : actions.refusals) {
      const auto node = owner.waiting.extract(refused.id);
      const RequestPtr request = node.mapped();
      events_.At(events_.now() + Network(target, request->host),
                 [this, request, target] { OnRefused(request, target); });
    }
  }

  // An upstream lets go at the deadline, whatever it has done by then.
  void Serve(const RequestPtr& request, int target, const SlotToken& token) {
    const Time now = events_.now();
    int& load = in_flight_[token.upstream.value];
    over_slots_ += ++load > plan_.slots ? 1 : 0;
    const bool late = now + request->service > request->deadline;
    const Time end =
        late ? std::max(now, request->deadline) : now + request->service;
    events_.At(end, [this, request, target, token, late] {
      --in_flight_[token.upstream.value];
      Act(target, owners_[Slot(target)].table->Release(
                      token, late ? SlotUse::kFailed : SlotUse::kAnswered,
                      request->service, events_.now()));
      events_.At(
          events_.now() + Network(target, request->host),
          [this, request, target, late] { OnAnswered(request, target, late); });
    });
  }

  void OnAnswered(const RequestPtr& request, int target, bool late) {
    hosts_[Slot(request->host)].views.OnDone(static_cast<std::uint32_t>(target),
                                             kService);
    if (!request->counted) {
      return;
    }
    if (late || events_.now() > request->deadline) {
      ++ClassOf(request).late;
      return;
    }
    ++ClassOf(request).in_time;
    latency_ms_.push_back(ToMilliseconds(events_.now() - request->arrived));
  }

  void OnRefused(const RequestPtr& request, int target) {
    Host& host = hosts_[Slot(request->host)];
    host.views.OnDone(static_cast<std::uint32_t>(target), kService);
    request->tried.push_back(target);
    const bool may = plan_.retries &&
                     request->tried.size() < Slot(kMostAttempts) &&
                     events_.now() < request->deadline;
    if (may && (!plan_.retry_budget || host.retries.TryRetry())) {
      ++request->id.attempt;
      Route(request);
    } else {
      Refused(request);
    }
  }

  void Refused(const RequestPtr& request) {
    if (request->counted) {
      ++ClassOf(request).refused;
      refusal_ms_.push_back(ToMilliseconds(events_.now() - request->arrived));
    }
  }

  // Owners' reports reach every host with the network's delay and more.
  void ScheduleReports() {
    if (plan_.serving == ModelServing::kSharedQueue ||
        events_.now() - Time{} > plan_.length) {
      return;
    }
    double lowest = 1;
    for (int owner = 0; owner < HostCount(); ++owner) {
      const Time observed = events_.now();
      const PoolLoad load =
          owners_[Slot(owner)].table->Load(kService, observed);
      lowest = std::min(
          lowest, static_cast<double>(load.free) / std::max(1, load.slots));
      for (int host = 0; host < HostCount(); ++host) {
        if (host == owner) {
          continue;
        }
        const Duration delay = Network(owner, host) + plan_.report_delay;
        events_.At(observed + delay, [this, host, owner, load, observed] {
          hosts_[Slot(host)].views.OnReport(static_cast<std::uint32_t>(owner),
                                            kService, load, observed);
        });
      }
    }
    headroom_.push_back(lowest);
    for (int owner = 0; owner < HostCount(); ++owner) {
      Act(owner, owners_[Slot(owner)].table->Dispatch(events_.now()));
    }
    events_.At(events_.now() + plan_.report_period,
               [this] { ScheduleReports(); });
  }

  ModelClass& ClassOf(const RequestPtr& request) {
    return result_.classes[Slot(int(request->priority))];
  }

  ModelResult Summarize() {
    constexpr double kMedian = 0.5;
    constexpr double kTail = 0.99;
    int offered = 0;
    int in_time = 0;
    for (const ModelClass& item : result_.classes) {
      offered += item.offered;
      in_time += item.in_time;
    }
    const double span =
        (1 - kWarmUpShare) * static_cast<double>(plan_.length.count());
    const double capacity =
        AllSlots() * span / static_cast<double>(plan_.service_time.count());
    result_.p50_ms = Quantile(latency_ms_, kMedian);
    result_.p99_ms = Quantile(latency_ms_, kTail);
    result_.refusal_p99_ms = Quantile(refusal_ms_, kTail);
    result_.goodput = in_time / capacity;
    result_.attempts = static_cast<double>(attempts_) / std::max(1, offered);
    result_.over_slots = over_slots_;
    double sum = 0;
    for (const double value : headroom_) {
      sum += value;
    }
    result_.headroom_low =
        headroom_.empty() ? 0 : sum / static_cast<double>(headroom_.size());
    return result_;
  }

  ModelPlan plan_;
  std::mt19937_64 random_;
  EventQueue events_;
  std::vector<Host> hosts_;
  std::vector<Owner> owners_;
  std::vector<int> in_flight_;
  std::vector<double> latency_ms_;
  std::vector<double> refusal_ms_;
  std::vector<double> headroom_;
  std::uint64_t next_id_ = 0;
  std::int64_t attempts_ = 0;
  int over_slots_ = 0;
  ModelResult result_;
};

}  // namespace

ModelResult RunModel(const ModelPlan& plan) {
  return Model(plan).Run();
}

}  // namespace pathcleat
