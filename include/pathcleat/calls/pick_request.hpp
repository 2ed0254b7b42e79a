// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>

#include "pathcleat/calls/header_names.hpp"
#include "pathcleat/http/http_exchange.hpp"
#include "pathcleat/routing/upstream_picker.hpp"

namespace pathcleat {

/// @brief What the choice of an upstream needs to know of a caller's request.
/// Its service is not chosen yet.
/// @param request_id stands for the key where the route has none.
/// @ingroup calls
PickRequest MakePickRequest(const HeaderNames& names,
                            const HttpExchange& exchange,
                            const Route& route,
                            const std::string& request_id);

}  // namespace pathcleat
