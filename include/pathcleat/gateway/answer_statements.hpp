// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/gateway/gateway_state.hpp"
#include "pathcleat/http/http_message.hpp"

namespace pathcleat {

/// @brief An answer of an upstream, or its head while the body still arrives.
/// @ingroup gateway
struct UpstreamAnswer {
  const UpstreamPtr& upstream;  ///< that was picked
  const HttpResponse& response;
  Time sent;                ///< when its request was sent
  bool is_complete = true;  ///< false: the body still arrives
};

/// @brief Applies what an answer states about the upstream itself: its rate
/// limit, whether it leaves, and for how long it wants no requests from this
/// host.
///
/// A rejection may state all of this too. An answer with status 421 states
/// nothing about the upstream that was picked: another one has taken over its
/// address.
/// @ingroup gateway
void ApplyStatements(GatewayState& state, const UpstreamAnswer& answer);

}  // namespace pathcleat
