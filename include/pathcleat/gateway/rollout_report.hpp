// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>

#include "pathcleat/gateway/gateway_state.hpp"
#include "pathcleat/steer/config_state.hpp"

namespace pathcleat {

/// @brief Inputs of a report on rollouts other than the state of the host.
/// @ingroup gateway
struct RolloutReportInputs {
  const ConfigState& commands;  ///< operators' commands and decisions in force
  std::uint64_t wall_micros = 0;
  Time now;
};

/// @brief Describes each service's newest rollout in one line.
/// @ingroup gateway
std::string SummarizeRollouts(const GatewayState& state,
                              const RolloutReportInputs& inputs);

/// @brief Describes a service's newest rollout: its phase, the share of
/// requests that the version gets, the exposure, the counts and verdict that
/// decisions rest on, and the ages of these figures.
/// @ingroup gateway
std::string DescribeRollout(const GatewayState& state,
                            const RolloutReportInputs& inputs,
                            const std::string& service);

}  // namespace pathcleat
