// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/load_step_control.hpp"

#include <criterion/criterion.h>

#include <cmath>
#include <deque>
#include <functional>
#include <numbers>
#include <string>
#include <vector>

#include "pathcleat/core/hash.hpp"
#include "pathcleat/fleet/locate_choice.hpp"
#include "pathcleat/fleet/utilization_meter.hpp"

namespace pathcleat {
namespace {

const Time kStart{Duration(60'000'000)};
constexpr Duration kTick{250'000};
constexpr Duration kSecond{1'000'000};

// One failure domain of equal hosts whose callers ask for addresses every 2 or
// 6 s and use reports that are 2 s old.
class CallerModel {
 public:
  CallerModel(std::size_t hosts, double demand)
      : demand_(demand), steps_(hosts), slow_factors_(hosts, 1) {
    for (std::size_t i = 0; i < hosts; ++i) {
      HostInfo host;
      host.name = host.caller_address = std::to_string(i);
      host.domain = "north-1";
      host.region = "north";
      host.capacity.cpu_cores = 0.1;
      infos_.push_back(host);
      meters_.emplace_back(1.0);
    }
    used_.assign(hosts, Duration(0));
    changes_.assign(hosts, 0);
    callers_.resize(kCallers);
  }

  void SetSlowFactor(std::size_t host, double factor) {
    slow_factors_[host] = factor;
  }
  void SetDemand(std::function<double(double seconds)> factor) {
    factor_ = std::move(factor);
  }

  void Run(Duration time) {
    for (const Time end = now_ + time; now_ < end; now_ += kTick) {
      Step();
    }
  }

  int changes(std::size_t host) const { return changes_[host]; }
  int step(std::size_t host) const { return steps_[host].step(); }
  double utilization(std::size_t host) const { return utilizations_[host]; }

 private:
  static constexpr std::size_t kCallers = 400;
  static constexpr std::size_t kReportTicks = 8;  // 2 s

  struct Caller {
    std::vector<std::string> addresses;
    Time until;
  };

  void Step() {
    reports_.push_back(infos_);
    if (reports_.size() > kReportTicks) {
      reports_.pop_front();
    }
    std::vector<const HostInfo*> known;
    for (const HostInfo& host : reports_.front()) {
      known.push_back(&host);
    }
    const LocateChoice choice(known, "north", "north-1");
    std::vector<double> load(infos_.size(), 0);
    const double seconds = std::chrono::duration<double>(now_ - kStart).count();
    for (std::size_t i = 0; i < callers_.size(); ++i) {
      Caller& caller = callers_[i];
      if (now_ >= caller.until) {
        caller.addresses = choice.For(StableHash(std::to_string(i)), 16);
        caller.until = now_ + (i % 3 == 0 ? 6 : 2) * kSecond;
      }
      for (const std::string& address : caller.addresses) {
        load[std::stoul(address)] +=
            demand_ * factor_(seconds) / kCallers /
            static_cast<double>(caller.addresses.size());
      }
    }
    utilizations_.resize(infos_.size());
    for (std::size_t i = 0; i < infos_.size(); ++i) {
      const double use = std::min(1.0, load[i] * slow_factors_[i]);
      used_[i] += Duration(
          static_cast<Duration::rep>(use * static_cast<double>(kTick.count())));
      utilizations_[i] = meters_[i].Update(used_[i], now_);
      const int before = steps_[i].step();
      infos_[i].load_step = steps_[i].Update(utilizations_[i], now_);
      changes_[i] += steps_[i].step() == before ? 0 : 1;
    }
  }

  double demand_;  ///< in units of what one host carries
  std::function<double(double)> factor_ = [](double) { return 1.0; };
  std::vector<LoadStepControl> steps_;
  std::vector<double> slow_factors_;
  std::vector<HostInfo> infos_;
  std::vector<UtilizationMeter> meters_;
  std::vector<Duration> used_;
  std::vector<double> utilizations_;
  std::vector<int> changes_;
  std::vector<Caller> callers_;
  std::deque<std::vector<HostInfo>> reports_;
  Time now_ = kStart;
};

// Guards against a slow host that stays full while the others have room.
Test(load_step_control, slow_host_gets_fewer_callers_until_it_has_room) {
  CallerModel model(13, 13 * 0.4);
  model.Run(30 * kSecond);
  for (std::size_t i = 0; i < 13; ++i) {
    cr_assert_eq(model.changes(i), 0);
  }
  model.SetSlowFactor(3, 2.6);
  model.Run(60 * kSecond);
  cr_assert_gt(model.step(3), 0);
  cr_assert_lt(model.utilization(3), 0.85, "%.2f", model.utilization(3));
}

// Guards against callers that go back and forth while nothing changes. Fails
// with kReturnUtilization at 1.2, and with kEffectDelay at 0.
Test(load_step_control, constant_demand_causes_no_oscillation) {
  for (const double slow : {2.2, 2.6, 3.2, 5.5}) {
    CallerModel model(13, 13 * 0.4);
    model.SetSlowFactor(3, slow);
    model.Run(60 * kSecond);
    const int settled = model.changes(3);
    cr_assert_leq(settled, 3);
    model.Run(300 * kSecond);
    cr_assert_eq(model.changes(3), settled, "slow by %.1f: %d changes after %d",
                 slow, model.changes(3), settled);
    for (std::size_t i = 0; i < 13; ++i) {
      cr_assert(i == 3 || model.changes(i) == 0);
    }
  }
}

// Guards against steps that follow each swing of a periodic demand. Fails with
// kReturnDelay at 5 s.
Test(load_step_control, periodic_demand_is_not_followed) {
  CallerModel model(13, 13 * 0.5);
  model.SetDemand([](double seconds) {
    return 1 + 0.55 * std::sin(seconds * 2 * std::numbers::pi / 36);
  });
  model.SetSlowFactor(3, 1.6);
  model.Run(90 * kSecond);
  const int settled = model.changes(3);
  cr_assert_gt(settled, 0);
  model.Run(360 * kSecond);
  cr_assert_leq(model.changes(3) - settled, 1);
}

// Guards against a host that stays without callers after it has room again.
Test(load_step_control, callers_return_once_the_host_is_fast_again) {
  CallerModel model(13, 13 * 0.4);
  model.SetSlowFactor(3, 5.5);
  model.Run(60 * kSecond);
  cr_assert_gt(model.step(3), 0);
  model.SetSlowFactor(3, 1);
  model.Run(180 * kSecond);
  cr_assert_eq(model.step(3), 0);
}

// Guards against a start or a large change of the configuration that sends
// callers away.
Test(load_step_control, short_peak_changes_nothing) {
  LoadStepControl control;
  Time now = kStart;
  for (int i = 0; i < 10; ++i, now += kTick) {
    cr_assert_eq(control.Update(1.0, now), 0);
  }
  cr_assert_eq(control.Update(0.3, now), 0);
}

Test(utilization_meter, averages_over_the_periods_of_a_quota) {
  UtilizationMeter meter(0.1);
  Duration used{0};
  Time now = kStart;
  double utilization = 0;
  for (int i = 0; i < 80; ++i, now += kTick) {
    utilization = meter.Update(used, now);
    used += Duration(i % 2 == 0 ? 20'000 : 5'000);
  }
  cr_assert_float_eq(utilization, 0.5, 0.06);
}

}  // namespace
}  // namespace pathcleat
