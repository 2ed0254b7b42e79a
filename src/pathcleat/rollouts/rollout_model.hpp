// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Model of a rollout without network, for tests and comparisons.
#pragma once

#include <algorithm>
#include <array>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <vector>

#include "pathcleat/core/hash.hpp"
#include "pathcleat/rollouts/rollout.hpp"

namespace pathcleat {

/// @brief What goes wrong in a model run, at one version or at both.
struct ModelFault {
  double failures = 0;  ///< share of affected responses that fail
  double slowdown = 1;  ///< factor of affected run times
  double from = 0;      ///< seconds since the order
  double until = 1e9;
  int only_route = -1;
  bool warm_only = false;   ///< only runs with warm keys are slower
  bool under_load = false;  ///< only at upstreams with all slots in use
};

struct ModelPlan {
  int hosts = 30;
  double rate = 480;    ///< requests per second, all hosts together
  int upstreams = 120;  ///< of each version; a multiple of the 3 regions
  double timeout = 13;  ///< seconds
  double run = 0.06;    ///< seconds, warm, of the usual route
  double usual_failures = 0.004;
  ModelFault new_version;
  ModelFault both;
  double degraded = 0;    ///< share of the upstreams of each version that are
                          ///< three times slower and fail every second request
  double cut_from = 1e9;  ///< region 0 is cut off for 5 s from then on
  double kill_at = 1e9;   ///< 60 in 100 of the hosts restart at this time
  int popular_keys = 40;  ///< half of the requests; 0: no key is repeated
};

/// @brief A way to judge a version.
class ModelJudge {
 public:
  virtual ~ModelJudge() = default;
  virtual void Update(const RolloutTally& fleet, Time now) = 0;
  virtual bool IsBad() const = 0;
  virtual bool IsGood(double progress) const = 0;
  virtual bool NeedsMoreUpstreams() const { return false; }
};

/// @brief The way that ships.
class VerdictJudge : public ModelJudge {
 public:
  void Update(const RolloutTally& fleet, Time now) override {
    verdict_.Update(fleet, now);
  }
  bool IsBad() const override { return verdict_.IsBad(); }
  bool IsGood(double progress) const override {
    return verdict_.IsGood(progress);
  }
  bool NeedsMoreUpstreams() const override {
    return verdict_.NeedsMoreUpstreams();
  }
  const VersionVerdict& verdict() const { return verdict_; }

 private:
  VersionVerdict verdict_;
};

struct ModelResult {
  bool completed = false;
  bool found_bad = false;  ///< rolled back for evidence, not for lack of it
  double decided = 0;      ///< seconds since the order
  int bad_responses = 0;   ///< failed or slowed responses of the new version
};

/// @brief Hosts that send requests to upstreams with slots, regions and warm
/// keys; the judge sees the tallies that the hosts publish twice a second.
class RolloutModel {
 public:
  RolloutModel(const ModelPlan& plan, std::uint64_t seed, ModelJudge& judge)
      : plan_(plan), judge_(judge), random_(seed) {
    for (int i = 0; i < plan.hosts; ++i) {
      hosts_.push_back(MakeHost());
    }
    upstreams_.resize(static_cast<std::size_t>(plan.upstreams) * 2);
    for (Upstream& upstream : upstreams_) {
      upstream.degraded = Draw() < plan.degraded;
    }
  }

  ModelResult Run() {
    const double mean_gap = 1 / plan_.rate;
    double next_evaluation = kEvaluationInterval;
    for (double now = 0;;) {
      now += std::exponential_distribution<double>(1 / mean_gap)(random_);
      while (next_evaluation <= now) {
        Deliver(next_evaluation);
        if (Evaluate(next_evaluation)) {
          // Responses under way count as well.
          Deliver(1e9);
          return result_;
        }
        next_evaluation += kEvaluationInterval;
      }
      Send(now);
    }
  }

 private:
  static constexpr double kEvaluationInterval = 0.25;
  static constexpr int kRegions = 3;
  static constexpr int kRoutes = 20;
  static constexpr double kColdMultiple = 3.3;
  static constexpr double kCutDuration = 5;
  static constexpr double kSlots = 3;

  struct Host {
    Rollout rollout;
    RolloutTally published;
    std::set<std::pair<std::uint64_t, std::size_t>> sent;
    double epoch = 0;
  };
  struct Upstream {
    std::array<double, 3> busy_until{};
    std::set<std::uint64_t> keys;
    bool degraded = false;
  };
  struct Pending {
    double at;
    std::size_t host;
    double epoch;
    VersionResponse response;
    bool bad;
    bool operator<(const Pending& other) const { return at > other.at; }
  };

  static RolloutOrder Order() { return {"s", "v2", Duration(1), 1}; }
  static Time At(double seconds) {
    return Time(Duration(static_cast<Duration::rep>(seconds * 1e6) + 1));
  }

  double Draw() { return std::uniform_real_distribution<double>()(random_); }

  static Host MakeHost(double epoch = 0) {
    Host host{Rollout(Order(), RolloutBounds{0.1, 50, Duration(5'000'000)}, 1),
              {},
              {},
              epoch};
    RolloutState state;
    state.order_id = 1;
    state.version = "v2";
    host.rollout.SetState(state);
    host.rollout.SetLocalState({"v1", "v2"}, 0);
    return host;
  }

  // One route with a twentieth of the requests (0), one with a tenth (1).
  int DrawRoute() {
    const double draw = Draw();
    if (draw < 0.05) {
      return 0;
    }
    return draw < 0.15 ? 1 : 2 + static_cast<int>(random_() % (kRoutes - 2));
  }

  bool IsCut(std::size_t region, double now) const {
    return region == 0 && now >= plan_.cut_from &&
           now < plan_.cut_from + kCutDuration;
  }

  // The upstream of the key within its region: three quarters of the keys are
  // served in the host's own region.
  std::size_t Choose(std::size_t host, std::uint64_t key, bool is_new) {
    const std::uint64_t hash = StableHash(std::to_string(key));
    const std::size_t region =
        hash % 4 != 0 ? host % kRegions : (hash >> 8U) % kRegions;
    const auto in_region = static_cast<std::size_t>(plan_.upstreams) / kRegions;
    std::size_t count = in_region;
    if (is_new && !judge_.NeedsMoreUpstreams()) {
      count = std::max<std::size_t>(1, in_region * 8 / 100);
    }
    const std::size_t index = (hash >> 16U) % count * kRegions + region;
    return index + (is_new ? static_cast<std::size_t>(plan_.upstreams) : 0);
  }

  static bool Applies(const ModelFault& fault,
                      double now,
                      int route,
                      bool full) {
    return now >= fault.from && now < fault.until &&
           (fault.only_route < 0 || fault.only_route == route) &&
           (!fault.under_load || full);
  }

  void Send(double now) {
    const std::size_t index = random_() % hosts_.size();
    Host& host = hosts_[index];
    const int route = DrawRoute();
    const bool popular = plan_.popular_keys > 0 && Draw() < 0.5;
    const std::uint64_t key =
        popular ? random_() % static_cast<std::uint64_t>(plan_.popular_keys)
                : 1'000'000 + ++unique_keys_;
    const VersionRulePtr rule = host.rollout.RuleFor(true, key);
    const bool is_new = !judge_.IsBad() && rule && rule->Allows("v2");
    const std::size_t upstream_index = Choose(index, key, is_new);
    Upstream& upstream = upstreams_[upstream_index];
    auto& slot = *std::min_element(upstream.busy_until.begin(),
                                   upstream.busy_until.end());
    const std::size_t upstream_region = upstream_index % kRegions;

    Pending pending{};
    pending.host = index;
    pending.epoch = host.epoch;
    VersionResponse& response = pending.response;
    response.version = is_new ? "v2" : "v1";
    response.route = StableHash("route" + std::to_string(route));
    response.upstream = StableHash("u" + std::to_string(upstream_index));
    response.leaves_region = upstream_region != index % kRegions;
    response.full = slot > now;
    response.warm = !host.sent.insert({key, upstream_index}).second;
    response.cold_run = FromModel(RunOf(route) * kColdMultiple * 1.5);
    const bool key_warm = !upstream.keys.insert(key).second;

    double run = RunOf(route) * (key_warm ? 1 : kColdMultiple) *
                 std::lognormal_distribution<double>(0, 0.15)(random_);
    double failures = plan_.usual_failures;
    bool slowed = false;
    const auto apply = [&](const ModelFault& fault) {
      if (!Applies(fault, now, route, response.full)) {
        return;
      }
      failures += fault.failures;
      if (fault.slowdown > 1 && (!fault.warm_only || key_warm)) {
        run *= fault.slowdown;
        slowed = true;
      }
    };
    apply(plan_.both);
    if (is_new) {
      slowed = false;
      apply(plan_.new_version);
    }
    if (upstream.degraded) {
      failures += 0.5;
      run *= 3;
    }
    if (IsCut(upstream_region, now) != IsCut(index % kRegions, now)) {
      failures = 1;
    }
    response.failed = Draw() < failures;
    const double start = std::max(now, slot);
    slot = start + run;
    pending.at = slot + (response.leaves_region ? 0.07 : 0.002);
    response.took = FromModel(pending.at - now);
    pending.bad = response.failed || slowed;
    host.rollout.OnSent(response.version, key);
    pending_.push(pending);
  }

  static double UnitOf(int route) { return 0.5 + 0.25 * (route % 5); }
  double RunOf(int route) const { return plan_.run * UnitOf(route); }
  static Duration FromModel(double seconds) {
    return Duration(static_cast<Duration::rep>(seconds * 1e6));
  }

  void Deliver(double until) {
    while (!pending_.empty() && pending_.top().at <= until) {
      const Pending done = pending_.top();
      pending_.pop();
      if (done.response.version == "v2" && done.bad) {
        ++result_.bad_responses;
      }
      Host& host = hosts_[done.host];
      if (host.epoch == done.epoch) {
        host.rollout.OnAnswer(done.response);
      }
    }
  }

  // Half of the hosts publish at each evaluation; hosts of a region that is cut
  // off are not heard.
  void Publish(double now) {
    const bool odd = static_cast<int>(now / kEvaluationInterval + 0.5) % 2 == 1;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if ((i % 2 == 1) == odd && !IsCut(i % kRegions, now)) {
        hosts_[i].published = hosts_[i].rollout.OwnTally();
      }
    }
  }

  bool Evaluate(double now) {
    if (now >= plan_.kill_at && !killed_) {
      killed_ = true;
      for (std::size_t i = 0; i < hosts_.size() * 6 / 10; ++i) {
        lost_.AddCounts(hosts_[i].published);
        hosts_[i] = MakeHost(now);
      }
    }
    Publish(now);
    RolloutTally fleet = lost_;
    for (const Host& host : hosts_) {
      fleet.AddCounts(host.published);
    }
    judge_.Update(fleet, At(now));
    result_.decided = now;
    result_.found_bad = judge_.IsBad();
    result_.completed = !result_.found_bad && now >= plan_.timeout / 2 &&
                        judge_.IsGood(now / plan_.timeout * 4 - 2);
    return result_.found_bad || result_.completed ||
           now >= plan_.timeout * 3 / 4;
  }

  ModelPlan plan_;
  ModelJudge& judge_;
  std::mt19937_64 random_;
  std::vector<Host> hosts_;
  std::vector<Upstream> upstreams_;
  std::priority_queue<Pending> pending_;
  RolloutTally lost_;  ///< counts of hosts that have been killed
  std::uint64_t unique_keys_ = 0;
  bool killed_ = false;
  ModelResult result_;
};

}  // namespace pathcleat
