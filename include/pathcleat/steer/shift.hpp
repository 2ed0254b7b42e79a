// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Maximum ramp time of a shift; sums of such a time and a time of the
/// clock do not overflow.
/// @ingroup steer
inline constexpr Duration kMaxRampTime = std::chrono::hours(24 * 365);

/// @brief A planned move of a service's traffic from one region to another.
/// @ingroup steer
struct ShiftPlan {
  std::uint64_t id =
      0;  ///< version of the configuration change that started the shift
  std::string service;
  std::string from_region;
  std::string to_region;
  double cap =
      0;  ///< maximum share of the offered requests that are moved, 0 to 1
  Duration ramp_time{
      0};  ///< minimum time in which the moved share grows from 0 to the cap

  template <class Archive>
  void save(Archive& archive) const {  // NOLINT: named by cereal
    archive(id, service, from_region, to_region, cap,
            static_cast<std::int64_t>(ramp_time.count()));
  }
  template <class Archive>
  void load(Archive& archive) {  // NOLINT: named by cereal
    std::int64_t micros = 0;
    archive(id, service, from_region, to_region, cap, micros);
    ramp_time = Duration(micros);
  }
};

/// @brief State of a shift's target region. It determines whether the moved
/// share may grow.
/// @ingroup steer
struct ShiftTargetState {
  double headroom = 0;  ///< free share of the target's slots, 0 to 1
  Duration latency{0};  ///< typical latency at the target
  Duration age{0};      ///< age of this state
};

/// @brief Decision whether the moved share grows, and the reason if it does
/// not.
/// @ingroup steer
enum class RampDecision {
  kAdvanced,
  kHeldStaleData,
  kHeldLowHeadroom,
  kHeldHighLatency,
  kAtCap,
};

/// @brief Stable text of a ramp decision.
/// @ingroup steer
const char* ToString(RampDecision decision);

/// @brief Applies one shift at one host. At any time, the requests that this
/// host has moved are at most cap times the requests offered to this host. So
/// the same bound holds for the sums over all hosts, without communication
/// between them. Not thread-safe.
/// @ingroup steer
class ShiftControl {
 public:
  ShiftControl(const ShiftPlan& plan, Time now);

  const ShiftPlan& plan() const { return plan_; }

  /// @brief Counts a request that would go to the plan's source region without
  /// the shift.
  void OnOffered() { ++offered_; }

  /// @brief Whether the requests of this caller are moved at the current share.
  /// The callers with the lowest hashes are moved, so that a moved caller stays
  /// moved when the share grows.
  /// @param caller_hash hash of the caller, scaled to [0, 1).
  bool ShouldMove(double caller_hash) const {
    return caller_hash < current_share_;
  }

  /// @brief Counts one request sent away from the source region, if the cap
  /// allows it. Requests that were shifted, spilled over or retried all count
  /// as moved.
  bool TryMove();

  /// @brief Increases the moved share if the target's state allows it. Call
  /// about once a second.
  RampDecision Advance(const ShiftTargetState& target, Time now);

  double current_share() const { return current_share_; }
  std::uint64_t offered() const { return offered_; }
  std::uint64_t moved() const { return moved_; }
  RampDecision last_decision() const { return last_decision_; }

 private:
  RampDecision Decide(const ShiftTargetState& target, Time now);

  ShiftPlan plan_;
  Time last_advance_;
  Duration baseline_latency_{0};
  double current_share_ = 0;
  std::uint64_t offered_ = 0;
  std::uint64_t moved_ = 0;
  RampDecision last_decision_ = RampDecision::kHeldStaleData;
};

}  // namespace pathcleat
