// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/lab/routing_model.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <iomanip>
#include <map>
#include <memory>
#include <random>
#include <sstream>

#include "pathcleat/core/hash.hpp"
#include "pathcleat/lab/load_generator.hpp"
#include "pathcleat/routing/upstream_picker.hpp"
#include "virtual_scheduler.hpp"

namespace pathcleat {
namespace {

constexpr const char* kService = "service";
constexpr std::size_t kAnswerBytes = 1'000;

std::string RegionName(int region) {
  return "region-" + std::to_string(region);
}

int UpstreamsIn(const RoutingModelPlan& plan, int region) {
  return plan.upstreams_by_region.empty()
             ? plan.upstreams_in_region
             : plan.upstreams_by_region[static_cast<std::size_t>(region)];
}

struct ModelRequest {
  int region = 0;
  std::uint64_t key = 0;
  Time arrived;
  std::function<void(bool ran)> done;
};

class ModelUpstream {
 public:
  ModelUpstream(VirtualScheduler& scheduler,
                const RoutingModelPlan& plan,
                std::mt19937_64& random)
      : scheduler_(scheduler),
        plan_(plan),
        random_(random),
        keys_(static_cast<std::size_t>(plan.cached_keys)) {}

  // Accepts the request, or returns false at once if the queue is full.
  bool Offer(const ModelRequest& request) {
    if (running_ < plan_.slots) {
      Begin(request);
      return true;
    }
    if (static_cast<int>(waiting_.size()) >= plan_.queue_capacity) {
      return false;
    }
    waiting_.push_back(request);
    return true;
  }

  LoadReport Report() const {
    return {running_, static_cast<int>(waiting_.size()), plan_.slots};
  }

 private:
  void Begin(const ModelRequest& request) {
    ++running_;
    std::normal_distribution<double> spread(1.0, 0.15);
    const double share =
        keys_.Contains(request.key) ? plan_.warm_run_share : 1.0;
    const double run = static_cast<double>(plan_.mean_cold_run_time.count()) *
                       share * std::max(0.3, spread(random_));
    scheduler_.ScheduleAfter(Duration(static_cast<Duration::rep>(run)),
                             [this, request] {
                               keys_.Touch(request.key);
                               --running_;
                               request.done(true);
                               if (!waiting_.empty()) {
                                 const ModelRequest next = waiting_.front();
                                 waiting_.pop_front();
                                 Begin(next);
                               }
                             });
  }

  VirtualScheduler& scheduler_;
  const RoutingModelPlan& plan_;
  std::mt19937_64& random_;
  RecentKeys keys_;
  std::deque<ModelRequest> waiting_;
  int running_ = 0;
};

// One entry host with its own upstream table and picker, as in the gateway.
struct ModelHost {
  ModelHost(const RoutingModelPlan& plan, int region)
      : table(Regions(plan)), picker(Settings(region), table) {}

  static std::map<std::string, std::string> Regions(
      const RoutingModelPlan& plan) {
    std::map<std::string, std::string> regions;
    for (int r = 0; r < plan.regions; ++r) {
      regions[RegionName(r)] = RegionName(r);
    }
    return regions;
  }
  static PickerSettings Settings(int region) {
    PickerSettings settings;
    settings.domain = RegionName(region);
    settings.region = RegionName(region);
    return settings;
  }

  UpstreamTable table;
  UpstreamPicker picker;
};

class RoutingModel {
 public:
  explicit RoutingModel(const RoutingModelPlan& plan)
      : plan_(plan), random_(plan.seed) {
    route_.name = "route";
    route_.repeatable = true;
    route_.sticky = true;
    route_.target_latency = plan.target_latency;
    route_.timeout = plan.timeout;
    if (plan.policy == RoutingModelPolicy::kSharedQueue) {
      shared_plan_ = plan;
      shared_plan_.slots = plan.slots * plan.upstreams_in_region * plan.regions;
      shared_plan_.queue_capacity = 1'000'000;
      shared_plan_.cached_keys = plan.keys;
      upstreams_["shared"] =
          std::make_unique<ModelUpstream>(scheduler_, shared_plan_, random_);
    } else {
      CreateFleet();
    }
  }

  RoutingModelResult Run() {
    ScheduleArrival();
    SampleQueues();
    scheduler_.Run();
    result_.misplaced_share = misplaced_ / std::max(1.0, at_upstreams_);
    result_.p50_ms = Quantile(latency_ms_, 0.5);
    result_.p99_ms = Quantile(latency_ms_, 0.99);
    result_.other_region_share =
        result_.offered == 0
            ? 0
            : static_cast<double>(other_region_count_) / result_.offered;
    return result_;
  }

 private:
  void CreateFleet() {
    std::vector<UpstreamInfo> list;
    for (int r = 0; r < plan_.regions; ++r) {
      for (int i = 0; i < UpstreamsIn(plan_, r); ++i) {
        UpstreamInfo info;
        info.id = "upstream-" + std::to_string(r) + "-" + std::to_string(i);
        info.service = kService;
        info.domain = RegionName(r);
        info.slots = plan_.slots;
        list.push_back(info);
        upstreams_[info.id] =
            std::make_unique<ModelUpstream>(scheduler_, plan_, random_);
      }
    }
    for (int r = 0; r < plan_.regions; ++r) {
      for (int h = 0; h < plan_.hosts_in_region; ++h) {
        hosts_.push_back(std::make_unique<ModelHost>(plan_, r));
        for (const UpstreamInfo& upstream : list) {
          hosts_.back()->table.Put(upstream, scheduler_.now());
        }
        if (!plan_.upstreams_by_region.empty()) {
          hosts_.back()->picker.SetHostCounts(HostCounts());
        }
      }
    }
    for (int h = 0; h < plan_.hosts_in_region; ++h) {
      const bool large = h < plan_.large_hosts_in_region;
      host_weights_.push_back(large ? plan_.large_host_weight : 1);
    }
  }

  std::map<std::string, int> HostCounts() const {
    std::map<std::string, int> counts;
    for (int r = 0; r < plan_.regions; ++r) {
      counts[RegionName(r)] = plan_.hosts_in_region;
    }
    return counts;
  }

  // Counts requests that wait beside free slots of the same region.
  void SampleQueues() {
    constexpr Duration kSampleInterval{100'000};
    std::map<std::string, LoadReport> regions;
    for (const auto& [id, upstream] : upstreams_) {
      const LoadReport report = upstream->Report();
      LoadReport& sum = regions[id.substr(0, id.rfind('-'))];
      sum.running += report.running;
      sum.waiting += report.waiting;
      sum.slots += report.slots;
    }
    if (scheduler_.now() - start_ >= plan_.warm_up) {
      for (const auto& [region, sum] : regions) {
        misplaced_ += std::min(sum.waiting, sum.slots - sum.running);
        at_upstreams_ += sum.waiting + sum.running;
      }
    }
    if (scheduler_.now() - start_ < plan_.duration) {
      scheduler_.ScheduleAfter(kSampleInterval, [this] { SampleQueues(); });
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
    std::discrete_distribution<int> draw_region(plan_.region_shares.begin(),
                                                plan_.region_shares.end());
    std::uniform_int_distribution<int> draw_key(0, plan_.keys - 1);
    ModelRequest request;
    request.region = draw_region(random_);
    request.key = StableHash(std::to_string(draw_key(random_)));
    request.arrived = scheduler_.now();
    const bool counted = scheduler_.now() - start_ >= plan_.warm_up;
    result_.offered += counted ? 1 : 0;
    if (plan_.policy == RoutingModelPolicy::kSharedQueue) {
      request.done = [this, request, counted](bool) {
        Finish(request, counted, false);
      };
      upstreams_.begin()->second->Offer(request);
      return;
    }
    const int host = request.region * plan_.hosts_in_region + DrawHost();
    Send(*hosts_[static_cast<std::size_t>(host)], request, counted);
  }

  int DrawHost() {
    if (plan_.large_hosts_in_region == 0) {
      return std::uniform_int_distribution<int>(
          0, plan_.hosts_in_region - 1)(random_);
    }
    return std::discrete_distribution<int>(host_weights_.begin(),
                                           host_weights_.end())(random_);
  }

  // The picker's decision on admission, and then one of its best upstreams by
  // weight.
  Pick ChooseByShares(ModelHost& host, const PickRequest& request) {
    constexpr std::size_t kChoices = 3;
    Pick best = host.picker.Choose(request, scheduler_.now());
    if (!best.upstream) {
      return best;
    }
    std::vector<Pick> picks = host.picker.Explain(request, scheduler_.now());
    picks.resize(std::min(picks.size(), kChoices));
    const double spread =
        ToMilliseconds(plan_.target_latency) * plan_.share_spread;
    std::vector<double> weights;
    weights.reserve(picks.size());
    for (const Pick& pick : picks) {
      weights.push_back(std::exp(
          -ToMilliseconds(pick.expected_latency - best.expected_latency) /
          spread));
    }
    return picks[std::discrete_distribution<std::size_t>(
        weights.begin(), weights.end())(random_)];
  }

  Pick ChooseAt(ModelHost& host, const ModelRequest& request) {
    PickRequest pick_request;
    pick_request.route = &route_;
    pick_request.service = kService;
    pick_request.key = request.key;
    if (plan_.policy == RoutingModelPolicy::kPickerNoKey) {
      pick_request.key = random_();
    }
    pick_request.sticky = plan_.policy == RoutingModelPolicy::kPicker ||
                          plan_.policy == RoutingModelPolicy::kWeightedShares;
    pick_request.time_left = plan_.timeout;
    if (plan_.policy == RoutingModelPolicy::kWeightedShares) {
      return ChooseByShares(host, pick_request);
    }
    if (plan_.policy != RoutingModelPolicy::kRandomInRegion) {
      return host.picker.Choose(pick_request, scheduler_.now());
    }
    std::uniform_int_distribution<std::size_t> draw(
        0, static_cast<std::size_t>(plan_.upstreams_in_region) - 1);
    Pick pick;
    pick.upstream = host.table.ForService(
        kService)[static_cast<std::size_t>(request.region *
                                           plan_.upstreams_in_region) +
                  draw(random_)];
    return pick;
  }

  void Send(ModelHost& host, ModelRequest request, bool counted) {
    const Pick pick = ChooseAt(host, request);
    if (!pick.upstream) {
      result_.refused += counted ? 1 : 0;
      return;
    }
    const bool other_region =
        pick.upstream->region != RegionName(request.region);
    const Duration one_way =
        other_region ? plan_.round_trip_between_regions / 2 : Duration(300);
    host.picker.OnConnected(*pick.upstream, one_way * 2);
    pick.upstream->load.OnSent();
    const Time sent = scheduler_.now();
    ModelUpstream* target = upstreams_[pick.upstream->info.id].get();
    const auto on_ended = [this, &host, pick, request, sent, target, one_way,
                           counted, other_region](bool ran) {
      const LoadReport report = target->Report();
      scheduler_.ScheduleAfter(one_way, [=, this, &host] {
        ReportLoad(pick.upstream, report);
        pick.upstream->load.OnEnded();
        if (!ran) {
          result_.rejected += counted ? 1 : 0;
          result_.refused += counted ? 1 : 0;
          return;
        }
        PickRequest pick_request;
        pick_request.route = &route_;
        pick_request.key = request.key;
        host.picker.OnAnswer(
            *pick.upstream, pick_request, pick,
            {scheduler_.now() - sent, kAnswerBytes, report.waiting > 0},
            scheduler_.now());
        Finish(request, counted, other_region);
      });
    };
    request.done = on_ended;
    scheduler_.ScheduleAfter(one_way, [target, request, on_ended] {
      if (!target->Offer(request)) {
        on_ended(false);
      }
    });
  }

  void ReportLoad(const UpstreamPtr& upstream, const LoadReport& report) {
    if (plan_.max_report_delay == Duration::zero()) {
      upstream->load.OnReport(report, scheduler_.now());
      return;
    }
    std::uniform_int_distribution<Duration::rep> delay(
        0, plan_.max_report_delay.count());
    scheduler_.ScheduleAfter(
        Duration(delay(random_)), [this, upstream, report] {
          upstream->load.OnReport(report, scheduler_.now());
        });
  }

  void Finish(const ModelRequest& request, bool counted, bool other_region) {
    if (!counted) {
      return;
    }
    const Duration took = scheduler_.now() - request.arrived;
    (took <= plan_.target_latency ? result_.in_target : result_.late) += 1;
    other_region_count_ += other_region ? 1 : 0;
    latency_ms_.push_back(ToMilliseconds(took));
  }

  RoutingModelPlan plan_;
  RoutingModelPlan shared_plan_;
  std::mt19937_64 random_;
  VirtualScheduler scheduler_;
  Time start_ = scheduler_.now();
  Route route_;
  std::map<std::string, std::unique_ptr<ModelUpstream>> upstreams_;
  std::vector<std::unique_ptr<ModelHost>> hosts_;
  RoutingModelResult result_;
  std::vector<double> latency_ms_;
  int other_region_count_ = 0;
  std::vector<double> host_weights_;  ///< of the hosts of a region
  double misplaced_ = 0;
  double at_upstreams_ = 0;
};

double Median(std::vector<double> values) {
  return Quantile(std::move(values), 0.5);
}

}  // namespace

const char* ToString(RoutingModelPolicy policy) {
  switch (policy) {
    case RoutingModelPolicy::kPicker:
      return "picker";
    case RoutingModelPolicy::kWeightedShares:
      return "weighted shares";
    case RoutingModelPolicy::kPickerNoKey:
      return "picker without keys";
    case RoutingModelPolicy::kRandomInRegion:
      return "random in the region";
    case RoutingModelPolicy::kSharedQueue:
      return "shared queue (ideal)";
  }
  return "picker";
}

RoutingModelResult RunRoutingModel(const RoutingModelPlan& plan) {
  return RoutingModel(plan).Run();
}

std::string MeasureRouting(int seeds) {
  std::string text =
      "| policy | requests/s | in target | p50 ms | p99 ms | refused | turned "
      "away | run away from home |\n|---|---|---|---|---|---|---|---|\n";
  for (const double rate : {100.0, 200.0, 300.0, 400.0}) {
    for (const RoutingModelPolicy policy :
         {RoutingModelPolicy::kPicker, RoutingModelPolicy::kPickerNoKey,
          RoutingModelPolicy::kRandomInRegion,
          RoutingModelPolicy::kSharedQueue}) {
      std::vector<double> in_target;
      std::vector<double> p50;
      std::vector<double> p99;
      std::vector<double> refused;
      std::vector<double> rejected;
      std::vector<double> other_region;
      for (int seed = 1; seed <= seeds; ++seed) {
        RoutingModelPlan plan;
        plan.policy = policy;
        plan.requests_per_second = rate;
        plan.seed = static_cast<std::uint64_t>(seed);
        const RoutingModelResult result = RunRoutingModel(plan);
        const double offered = std::max(1, result.offered);
        in_target.push_back(result.InTargetShare());
        p50.push_back(result.p50_ms);
        p99.push_back(result.p99_ms);
        refused.push_back(result.refused / offered);
        rejected.push_back(result.rejected / offered);
        other_region.push_back(result.other_region_share);
      }
      const auto cell = [](const std::vector<double>& values) {
        std::string number = std::to_string(Median(values));
        return " | " + number.substr(0, number.find('.') + 4);
      };
      text += "| " + std::string(ToString(policy)) + " | " +
              std::to_string(static_cast<int>(rate)) + cell(in_target) +
              cell(p50) + cell(p99) + cell(refused) + cell(rejected) +
              cell(other_region) + " |\n";
    }
  }
  return text;
}

namespace {

RoutingModelPlan UnevenPlan(double rate, double large_host_weight) {
  RoutingModelPlan plan;
  plan.hosts_in_region = 26;
  plan.large_hosts_in_region = 4;
  plan.large_host_weight = large_host_weight;
  plan.upstreams_by_region = {22, 97, 97};
  plan.region_shares = {1, 1, 1};
  plan.round_trip_between_regions = Duration(70'000);
  plan.max_report_delay = Duration(1'000'000);
  plan.keys = 1'080;
  plan.requests_per_second = rate;
  plan.duration = Duration(30'000'000);
  return plan;
}

struct UnevenCase {
  RoutingModelPolicy policy;
  double share_spread;
  double large_host_weight;
};

std::string UnevenRow(const UnevenCase& tried, double rate, int seeds) {
  std::map<std::string, std::vector<double>> columns;
  for (int seed = 1; seed <= seeds; ++seed) {
    RoutingModelPlan plan = UnevenPlan(rate, tried.large_host_weight);
    plan.policy = tried.policy;
    plan.share_spread = tried.share_spread;
    plan.seed = static_cast<std::uint64_t>(seed);
    const RoutingModelResult result = RunRoutingModel(plan);
    const double offered = std::max(1, result.offered);
    columns["1 in target"].push_back(result.InTargetShare());
    columns["2 p50"].push_back(result.p50_ms);
    columns["3 p99"].push_back(result.p99_ms);
    columns["4 refused"].push_back(result.refused / offered);
    columns["5 rejected"].push_back(result.rejected / offered);
    columns["6 other region"].push_back(result.other_region_share);
    columns["7 misplaced"].push_back(result.misplaced_share);
  }
  std::ostringstream text;
  text << std::fixed << std::setprecision(3);
  text << "| " << ToString(tried.policy);
  if (tried.policy == RoutingModelPolicy::kWeightedShares) {
    text << ", spread " << tried.share_spread;
  }
  text << " | " << tried.large_host_weight << " | " << static_cast<int>(rate);
  for (const auto& [name, values] : columns) {
    text << " | " << Median(values);
  }
  text << " |\n";
  return text.str();
}

}  // namespace

std::string MeasureUnevenRouting(int seeds) {
  // Requests to a large host for each to a small one, without and with the
  // choice of hosts by capacity.
  constexpr double kAlike = 1;
  constexpr double kByCapacity = 5;
  std::string text =
      "| policy | large host | requests/s | in target | p50 ms | p99 ms | "
      "refused | turned away | other region | misplaced |\n"
      "|---|---|---|---|---|---|---|---|---|---|\n";
  for (const double rate : {300.0, 600.0, 900.0}) {
    text += UnevenRow({RoutingModelPolicy::kPickerNoKey, 0, kByCapacity}, rate,
                      seeds);
  }
  for (const double rate : {600.0, 1'100.0, 1'800.0, 2'600.0}) {
    for (const UnevenCase& tried :
         {UnevenCase{RoutingModelPolicy::kPicker, 0, kAlike},
          UnevenCase{RoutingModelPolicy::kPicker, 0, kByCapacity},
          UnevenCase{RoutingModelPolicy::kWeightedShares, 0.1, kByCapacity},
          UnevenCase{RoutingModelPolicy::kWeightedShares, 0.25, kByCapacity}}) {
      text += UnevenRow(tried, rate, seeds);
    }
  }
  return text;
}

}  // namespace pathcleat
