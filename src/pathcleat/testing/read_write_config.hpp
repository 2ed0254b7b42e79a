// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <utility>

#include "pathcleat/routing/routing_config.hpp"

namespace pathcleat {

/// @brief A configuration with the service "s" and two routes to it at
/// "test.example": "read", which is repeatable, and "write", which is not.
/// @param common all other properties of both routes.
inline RoutingConfig MakeReadWriteConfig(Route common) {
  Route read = std::move(common);
  read.name = "read";
  read.host = "test.example";
  read.path_prefix = "/s/read/";
  read.splits = {{"s", 1}};
  read.repeatable = true;
  Route write = read;
  write.name = "write";
  write.path_prefix = "/s/write/";
  write.repeatable = false;
  RoutingConfig config;
  config.version = 1;
  config.routes = {read, write};
  config.services = {{"s", "/health", 0, 0}};
  return config;
}

}  // namespace pathcleat
