// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief A planned move of a service's traffic from one region to another.
/// @ingroup steer
struct ShiftPlan {
  std::uint64_t id = 0;  ///< configuration version that started it
  std::string service;
  std::string from_region;  ///< region
  std::string to_region;    ///< region
  double cap = 0;           ///< largest share of offered requests, 0 to 1
  Duration ramp_time{0};    ///< time from nothing moved to the cap, at best

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

/// @brief What is known of a shift's target when its pace is decided.
/// @ingroup steer
struct ShiftTargetState {
  double headroom = 0;  ///< free share of the target's slots, 0 to 1
  Duration latency{0};  ///< typical latency there
  Duration age{0};      ///< how old this knowledge is
};

/// @brief Result of a pace decision.
/// @ingroup steer
enum class RampDecision {
  kAdvanced,
  kHeldStaleData,
  kHeldLowHeadroom,
  kHeldHighLatency,
  kAtCap,
};

/// @brief Stable text of a pace step.
/// @ingroup steer
const char* ToString(RampDecision step);

/// @brief Applies one shift at one host. The promise "moved <= cap x offered"
/// holds at every prefix of this host's own count, so it holds for the sum
/// over all hosts without any talk between them. Not thread-safe.
/// @ingroup steer
class ShiftControl {
 public:
  ShiftControl(const ShiftPlan& plan, Time now);

  const ShiftPlan& plan() const { return plan_; }

  /// @brief Counts a request whose place without the shift is the plan's from.
  void OnOffered() { ++offered_; }

  /// @brief Whether this caller is among those moved at the present pace.
  /// Callers are ordered by hash, so those moved first stay moved.
  /// @param caller_hash position of the caller in [0, 1).
  bool ShouldMove(double caller_hash) const { return caller_hash < fraction_; }

  /// @brief Counts one send away from the place, if the cap allows it. Every
  /// such send counts: shifted, spilled or retried.
  bool TryMove();

  /// @brief Decides the pace; call about once a second.
  RampDecision Advance(const ShiftTargetState& target, Time now);

  double current_share() const { return fraction_; }
  std::uint64_t offered() const { return offered_; }
  std::uint64_t moved() const { return moved_; }
  RampDecision last_decision() const { return last_step_; }

 private:
  RampDecision Decide(const ShiftTargetState& target, Time now);

  ShiftPlan plan_;
  Time last_advance_;
  Duration baseline_latency_{0};
  double fraction_ = 0;
  std::uint64_t offered_ = 0;
  std::uint64_t moved_ = 0;
  RampDecision last_step_ = RampDecision::kHeldStaleData;
};

}  // namespace pathcleat
