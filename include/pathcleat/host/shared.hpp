// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <atomic>
#include <cstdint>

#include "pathcleat/core/event_log.hpp"
#include "pathcleat/host/config_service.hpp"
#include "pathcleat/host/member_service.hpp"
#include "pathcleat/host/metrics.hpp"
#include "pathcleat/host/owner_service.hpp"
#include "pathcleat/host/route_service.hpp"
#include "pathcleat/host/trace_store.hpp"
#include "pathcleat/settings/host_settings.hpp"

namespace pathcleat {

/// @brief The tables that all threads of one host share. Each guards itself;
/// where two locks are held at once they are taken by LockRank.
/// @ingroup host
struct Shared {
  explicit Shared(const HostSettings& host_settings);

  const HostSettings settings;
  const std::uint64_t incarnation;  ///< larger after each restart
  EventLog events;
  ConfigService config;
  MemberService members;
  OwnerService owner;
  RouteService routes;
  TraceStore traces;
  Metrics metrics;
  std::atomic<std::uint64_t> next_request{1};
  std::atomic<int> connections{0};
  std::atomic<int> requests{0};  ///< callers' requests in flight
  std::atomic<bool> leaving{false};
  std::atomic<bool> platform_up{false};
};

}  // namespace pathcleat
