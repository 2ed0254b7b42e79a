// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>

#include "pathcleat/calls/header_names.hpp"
#include "pathcleat/http/http_exchange.hpp"
#include "pathcleat/routing/upstream_picker.hpp"

namespace pathcleat {

/// @brief Makes the input for the choice of an upstream from a caller's
/// request. The service is not set yet.
/// @param request_id replaces the affinity key where the route or the request
/// has none.
/// @ingroup calls
PickRequest MakePickRequest(const HeaderNames& names,
                            const HttpExchange& exchange,
                            const Route& route,
                            const std::string& request_id);

}  // namespace pathcleat
