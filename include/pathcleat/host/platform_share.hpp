// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/platform/http_platform.hpp"
#include "pathcleat/settings/host_settings.hpp"

namespace pathcleat {

/// @brief Options of the control thread's platform adapter: a quarter of the
/// host's store calls, for leases, configuration and host list.
/// @ingroup host
HttpPlatformOptions ControlPlatformOptions(const HostSettings& settings);

/// @brief Options of one worker's platform adapter: the workers split the
/// rest, for idempotency keys, so that these cannot starve the leases.
/// @ingroup host
HttpPlatformOptions WorkerPlatformOptions(const HostSettings& settings);

}  // namespace pathcleat
