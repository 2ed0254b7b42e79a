// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/pick_request.hpp"

#include "pathcleat/calls/upstream_protocol.hpp"
#include "pathcleat/core/hash.hpp"

namespace pathcleat {
namespace {

// Position of a caller by its /24 block: callers of one household or
// organization share caches.
double CallerPosition(const std::string& caller) {
  return UnitIntervalHash(
      std::string_view(caller).substr(0, caller.rfind('.')));
}

}  // namespace

PickRequest MakePickRequest(const HeaderNames& names,
                            const HttpExchange& exchange,
                            const Route& route,
                            const std::string& request_id) {
  const auto key = FindHeader(exchange.request().headers, names.affinity_key);
  PickRequest request;
  request.route = &route;
  request.shift_position = CallerPosition(exchange.caller_ip());
  request.sticky = route.sticky && key.has_value();
  request.key =
      StableHash(request.sticky ? *key : request_id, StableHash(route.name));
  request.caller_timeout =
      CallerTimeout(names, exchange.request()).value_or(route.timeout);
  return request;
}

}  // namespace pathcleat
