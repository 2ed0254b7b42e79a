// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/core/request_id.hpp"
#include "pathcleat/core/time.hpp"
#include "pathcleat/net/http_message.hpp"
#include "pathcleat/settings/deployment.hpp"

namespace pathcleat {

/// @brief State an upstream tells of itself.
/// @ingroup host
enum class UpstreamState { kServing, kLeaving, kFailed };

/// @brief The request as an upstream gets it: end-to-end fields, the request
/// id, and the time left in milliseconds (never a wall-clock time).
/// @ingroup host
HttpRequest ToUpstream(const HttpRequest& request,
                       const Upstream& upstream,
                       const RequestId& id,
                       Duration time_left);

/// @brief A probe of an upstream's health.
/// @ingroup host
HttpRequest HealthProbe(const Service& service, const Upstream& upstream);

/// @brief What a probe's answer says.
/// @ingroup host
UpstreamState StateFromProbe(const HttpResponse& response);

/// @brief Whether an answer to ordinary work says that the upstream leaves.
/// @ingroup host
bool SaysLeaving(const HttpResponse& response);

}  // namespace pathcleat
