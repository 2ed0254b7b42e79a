// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/host/platform_share.hpp"

namespace pathcleat {
namespace {

constexpr double kControlShare = 0.25;

HttpPlatformOptions WithShare(const HostSettings& settings, double share) {
  const PlatformEndpoint& platform = settings.deployment.platform;
  HttpPlatformOptions options;
  options.address = platform.address;
  options.port = platform.port;
  options.timeout = settings.deployment.timing.platform_timeout;
  options.calls_per_second = platform.calls_per_second * share;
  options.burst = platform.burst * share;
  return options;
}

}  // namespace

HttpPlatformOptions ControlPlatformOptions(const HostSettings& settings) {
  return WithShare(settings, kControlShare);
}

HttpPlatformOptions WorkerPlatformOptions(const HostSettings& settings) {
  return WithShare(settings, (1 - kControlShare) / settings.workers);
}

}  // namespace pathcleat
