// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include "pathcleat/routing/recent_keys.hpp"
#include "pathcleat/routing/upstream_load.hpp"
#include "virtual_scheduler.hpp"

namespace pathcleat {

/// @brief How a unit of work ended at a simulated upstream.
/// @ingroup lab
enum class ModelWorkOutcome {
  kCompleted,
  kNotRun,  ///< rejected, or its deadline passed in the queue
  kLost,    ///< the upstream crashed while the work was queued or running
};

/// @brief A unit of work for a simulated upstream.
/// @ingroup lab
struct ModelWork {
  std::uint64_t key = 0;
  /// Mean run time of work whose key was not served recently.
  Duration mean_run_time{0};
  /// Factor on the run time of work whose key was served recently.
  double warm_run_share = 1;
  Time deadline;
  std::function<void(ModelWorkOutcome outcome)> done;
};

/// @brief An upstream in virtual time with slots and a short queue. It runs
/// work faster if the key of the work was served recently.
/// @ingroup lab
class SimulatedUpstream {
 public:
  struct Options {
    int slots = 1;
    int queue_capacity = 0;
    std::size_t cached_keys = 0;
  };

  SimulatedUpstream(VirtualScheduler& scheduler,
                    std::mt19937_64& random,
                    const Options& options)
      : scheduler_(scheduler),
        random_(random),
        options_(options),
        recent_keys_(options.cached_keys) {}

  void Offer(const ModelWork& work) {
    if (HasFreeSlot()) {
      Begin(work);
      return;
    }
    if (static_cast<int>(waiting_.size()) >= options_.queue_capacity) {
      work.done(ModelWorkOutcome::kNotRun);
      return;
    }
    waiting_.push_back(work);
  }

  LoadReport Report() const {
    return {static_cast<int>(running_.size()),
            static_cast<int>(waiting_.size()), options_.slots};
  }

  /// @brief Loses all queued and running work and the recently served keys, as
  /// in a crash and restart.
  void Crash() {
    std::vector<ModelWork> lost(waiting_.begin(), waiting_.end());
    for (const auto& [number, work] : running_) {
      lost.push_back(work);
    }
    running_.clear();
    waiting_.clear();
    recent_keys_.Clear();
    for (const ModelWork& work : lost) {
      work.done(ModelWorkOutcome::kLost);
    }
  }

 private:
  bool HasFreeSlot() const {
    return static_cast<int>(running_.size()) < options_.slots;
  }

  void Begin(const ModelWork& work) {
    constexpr double kRunTimeDeviation = 0.15;
    constexpr double kMinRunFactor = 0.3;
    std::normal_distribution<double> spread(1.0, kRunTimeDeviation);
    const double share =
        recent_keys_.Contains(work.key) ? work.warm_run_share : 1.0;
    const double run = static_cast<double>(work.mean_run_time.count()) * share *
                       std::max(kMinRunFactor, spread(random_));
    recent_keys_.Touch(work.key);
    const std::uint64_t number = next_number_++;
    running_[number] = work;
    scheduler_.ScheduleAfter(Duration(static_cast<Duration::rep>(run)),
                             [this, number] { End(number); });
  }

  void End(std::uint64_t number) {
    const auto found = running_.find(number);
    if (found == running_.end()) {
      return;
    }
    const ModelWork work = std::move(found->second);
    running_.erase(found);
    work.done(ModelWorkOutcome::kCompleted);
    while (!waiting_.empty() && HasFreeSlot()) {
      const ModelWork next = waiting_.front();
      waiting_.pop_front();
      if (scheduler_.now() >= next.deadline) {
        next.done(ModelWorkOutcome::kNotRun);
      } else {
        Begin(next);
      }
    }
  }

  VirtualScheduler& scheduler_;
  std::mt19937_64& random_;
  Options options_;
  RecentKeys recent_keys_;
  std::deque<ModelWork> waiting_;
  std::map<std::uint64_t, ModelWork> running_;
  std::uint64_t next_number_ = 0;
};

}  // namespace pathcleat
