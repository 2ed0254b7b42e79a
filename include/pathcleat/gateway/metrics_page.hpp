// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <map>
#include <string>

#include "pathcleat/core/log_class.hpp"
#include "pathcleat/gateway/gateway_state.hpp"
#include "pathcleat/store/fleet_source.hpp"
#include "pathcleat/store/store_call_stats.hpp"

namespace pathcleat {

/// @brief Inputs of the metrics page other than the state of the host.
/// @ingroup gateway
struct MetricsInputs {
  HostVersions versions;
  /// Time of the last answer of the source, by topic.
  std::map<SourceTopic, Time> feeds_received_at;
  LogCounts dropped_log_lines{};
  const StoreCallStats* store_calls = nullptr;  ///< may be null
};

/// @brief Renders the counters, gauges and histograms of a host in the
/// Prometheus text exposition format, version 0.0.4.
/// @ingroup gateway
std::string RenderMetrics(const GatewayState& state,
                          const MetricsInputs& inputs,
                          Time now);

}  // namespace pathcleat
