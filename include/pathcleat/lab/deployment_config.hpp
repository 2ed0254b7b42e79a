// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>
#include <vector>

#include "pathcleat/routing/routing_config.hpp"
#include "pathcleat/routing/upstream_info.hpp"
#include "pathcleat/settings/deployment.hpp"

namespace pathcleat {

/// @brief Value of the Host header that callers of a deployment send.
/// @ingroup lab
std::string HostHeaderOf(const Deployment& deployment);

/// @brief The routes and services of a deployment file, as operators would
/// write them to the platform. Each kind of request has one route.
/// @ingroup lab
RoutingConfig RoutingConfigOf(const Deployment& deployment);

/// @brief The entries that the upstreams of a deployment file would register
/// at the platform.
/// @ingroup lab
std::vector<UpstreamInfo> UpstreamInfosOf(const Deployment& deployment);

/// @brief Text of the settings file of one entry host.
/// @ingroup lab
std::string SettingsTextOf(const Deployment& deployment, HostIndex index);

}  // namespace pathcleat
