// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <map>
#include <string>

#include "pathcleat/core/log_class.hpp"
#include "pathcleat/gateway/gateway_state.hpp"
#include "pathcleat/store/fleet_source.hpp"
#include "pathcleat/store/store_call_stats.hpp"

namespace pathcleat {

/// @brief What the page shows beside the host's own tables.
/// @ingroup gateway
struct MetricsInputs {
  HostVersions versions;
  std::map<SourceTopic, Time> feeds_received_at;  ///< when each topic last was
  LogCounts dropped_log_lines{};
  const StoreCallStats* store_calls = nullptr;  ///< may be missing
};

/// @brief A host's counters, gauges and histograms in the text form that
/// monitoring systems read (Prometheus' exposition format, version 0.0.4).
/// @ingroup gateway
std::string RenderMetrics(const GatewayState& state,
                          const MetricsInputs& inputs,
                          Time now);

}  // namespace pathcleat
