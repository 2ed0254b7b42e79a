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

/// @brief How a piece of work at a model's upstream ended.
/// @ingroup lab
enum class ModelWorkOutcome {
  kRan,
  kNotRun,  ///< turned away, or its deadline passed in the queue
  kLost,    ///< the upstream went while it was there
};

/// @brief A piece of work for a model's upstream.
/// @ingroup lab
struct ModelWork {
  std::uint64_t key = 0;
  Duration mean_run_time{0};  ///< mean, of a key not lately served
  double warm_run_share = 1;  ///< of it, where the key was lately served
  Time deadline;
  std::function<void(ModelWorkOutcome end)> done;
};

/// @brief An upstream in virtual time: slots, a short queue, keys at which it
/// is quick.
/// @ingroup lab
class SimulatedUpstream {
 public:
  struct Options {
    int slots = 1;
    int queue_capacity = 0;
    std::size_t cached_keys = 0;
  };

  SimulatedUpstream(VirtualScheduler& agenda,
                    std::mt19937_64& random,
                    const Options& shape)
      : agenda_(agenda),
        random_(random),
        shape_(shape),
        keys_(shape.cached_keys) {}

  void Offer(const ModelWork& work) {
    if (HasFreeSlot()) {
      Begin(work);
      return;
    }
    if (static_cast<int>(waiting_.size()) >= shape_.queue_capacity) {
      work.done(ModelWorkOutcome::kNotRun);
      return;
    }
    waiting_.push_back(work);
  }

  LoadReport Report() const {
    return {static_cast<int>(running_.size()),
            static_cast<int>(waiting_.size()), shape_.slots};
  }

  /// @brief Ends, with all that is there; starts anew and empty.
  void Crash() {
    std::vector<ModelWork> lost(waiting_.begin(), waiting_.end());
    for (const auto& [number, work] : running_) {
      lost.push_back(work);
    }
    running_.clear();
    waiting_.clear();
    keys_.Clear();
    for (const ModelWork& work : lost) {
      work.done(ModelWorkOutcome::kLost);
    }
  }

 private:
  bool HasFreeSlot() const {
    return static_cast<int>(running_.size()) < shape_.slots;
  }

  void Begin(const ModelWork& work) {
    constexpr double kRunSpread = 0.15;
    constexpr double kShortest = 0.3;
    std::normal_distribution<double> spread(1.0, kRunSpread);
    const double share = keys_.Contains(work.key) ? work.warm_run_share : 1.0;
    const double run = static_cast<double>(work.mean_run_time.count()) * share *
                       std::max(kShortest, spread(random_));
    keys_.Touch(work.key);
    const std::uint64_t number = next_++;
    running_[number] = work;
    agenda_.ScheduleAfter(Duration(static_cast<Duration::rep>(run)),
                          [this, number] { End(number); });
  }

  void End(std::uint64_t number) {
    const auto found = running_.find(number);
    if (found == running_.end()) {
      return;
    }
    const ModelWork work = std::move(found->second);
    running_.erase(found);
    work.done(ModelWorkOutcome::kRan);
    while (!waiting_.empty() && HasFreeSlot()) {
      const ModelWork next = waiting_.front();
      waiting_.pop_front();
      if (agenda_.now() >= next.deadline) {
        next.done(ModelWorkOutcome::kNotRun);
      } else {
        Begin(next);
      }
    }
  }

  VirtualScheduler& agenda_;
  std::mt19937_64& random_;
  Options shape_;
  RecentKeys keys_;
  std::deque<ModelWork> waiting_;
  std::map<std::uint64_t, ModelWork> running_;
  std::uint64_t next_ = 0;
};

}  // namespace pathcleat
