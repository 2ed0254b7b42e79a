// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pathcleat/routing/list_delta.hpp"
#include "pathcleat/routing/routing_config.hpp"

namespace pathcleat {

/// @brief What leads from the base's list to the new one.
/// @ingroup feeds
template <class Entry>
struct ListDelta {
  std::vector<ListDeltaStep<Entry>> steps;
  std::uint64_t digest = 0;  ///< of the new list's marks
};

/// @brief A configuration as one host passes it on to another: whole, or as
/// what changes the routes and accounts of an older version.
/// @ingroup feeds
struct ConfigUpdate {
  RoutingConfig config;  ///< without routes and accounts if there is a base
  std::uint64_t base_version =
      0;  ///< version that the steps begin at; 0: whole
  ListDelta<Route> routes;
  ListDelta<Account> accounts;
};

/// @brief The configuration that a part tells.
/// @param known what this host has in force; null: nothing.
/// @return nothing if the part is no change of it.
/// @ingroup feeds
std::optional<RoutingConfig> ApplyConfigUpdate(ConfigUpdate part,
                                               const RoutingConfig* known);

/// @brief A part's bytes (cereal, portable binary).
/// @ingroup feeds
std::string EncodeConfigUpdate(const ConfigUpdate& part);

/// @brief Reads a part; nothing if the bytes are none.
/// @ingroup feeds
std::optional<ConfigUpdate> DecodeConfigUpdate(std::string_view bytes);

}  // namespace pathcleat
