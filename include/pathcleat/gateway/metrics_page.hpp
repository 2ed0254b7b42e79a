// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "pathcleat/core/log_class.hpp"
#include "pathcleat/gateway/gateway_state.hpp"
#include "pathcleat/store/fleet_source.hpp"
#include "pathcleat/store/store_call_stats.hpp"

namespace pathcleat {

/// @brief How well this host is informed about one topic.
/// @ingroup gateway
struct FeedStatus {
  Time received_at;  ///< last answer, from the store or from another host
  /// Last answer of the store to this host; empty if never.
  std::optional<Time> store_answered_at;
  /// Last answer of the store to any host; empty if never.
  std::optional<Time> fleet_answered_at;
  std::uint64_t watch_restarts = 0;  ///< watches given up without an answer
};

/// @brief Inputs of the metrics page other than the state of the host.
/// @ingroup gateway
struct MetricsInputs {
  HostVersions versions;
  std::map<SourceTopic, FeedStatus> feeds;
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
