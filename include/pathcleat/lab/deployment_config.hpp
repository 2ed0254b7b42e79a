// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>
#include <vector>

#include "pathcleat/routing/routing_config.hpp"
#include "pathcleat/routing/upstream_info.hpp"
#include "pathcleat/settings/deployment.hpp"

namespace pathcleat {

/// @brief The Host field by which callers of a deployment name it.
/// @ingroup lab
std::string HostHeaderOf(const Deployment& deployment);

/// @brief The routes and services of a deployment file, as operators would
/// write them to the platform. One route a kind of request.
/// @ingroup lab
RoutingConfig RoutingConfigOf(const Deployment& deployment);

/// @brief The entries that the upstreams of a deployment file would write.
/// @ingroup lab
std::vector<UpstreamInfo> UpstreamInfosOf(const Deployment& deployment);

/// @brief Text of the settings file of one entry host.
/// @ingroup lab
std::string SettingsTextOf(const Deployment& deployment, HostIndex seat);

}  // namespace pathcleat
