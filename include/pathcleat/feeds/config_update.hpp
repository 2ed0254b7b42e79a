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

/// @brief The steps from a list of the base version to the new list.
/// @ingroup feeds
template <class Entry>
struct ListDelta {
  std::vector<ListDeltaStep<Entry>> steps;
  std::uint64_t digest = 0;  ///< of the content hashes of the new list
};

/// @brief A configuration in the form in which hosts send it to each other: in
/// full, or with routes and accounts as deltas to an older version.
/// @ingroup feeds
struct ConfigUpdate {
  RoutingConfig config;            ///< a delta has no routes and accounts here
  std::uint64_t base_version = 0;  ///< version that deltas apply to; 0: full
  ListDelta<Route> routes;
  ListDelta<Account> accounts;
};

/// @brief The configuration that results from an update.
/// @param current configuration in force on this host; null if there is none.
/// @return `std::nullopt` if the update is a delta that does not apply to
/// `current`.
/// @ingroup feeds
std::optional<RoutingConfig> ApplyConfigUpdate(ConfigUpdate update,
                                               const RoutingConfig* current);

/// @brief Encodes an update (cereal, portable binary).
/// @ingroup feeds
std::string EncodeConfigUpdate(const ConfigUpdate& update);

/// @brief Decodes an update; `std::nullopt` if the bytes are not an update.
/// @ingroup feeds
std::optional<ConfigUpdate> DecodeConfigUpdate(std::string_view bytes);

}  // namespace pathcleat
