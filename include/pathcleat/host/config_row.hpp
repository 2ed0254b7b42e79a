// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "pathcleat/steer/config_change.hpp"

namespace pathcleat {

/// @brief Prefix of the names of all change rows.
constexpr const char* kConfigRowPrefix = "config/";

/// @brief Name of the row of one version; names sort as versions do.
/// @ingroup host
std::string ConfigRowName(std::uint64_t version);

/// @brief A change as it lies in the table service: cereal's bytes in hex, so
/// that the wire and the store have one form.
/// @ingroup host
std::string ToRowValue(const ConfigChange& change);

/// @brief The change of a row; no value if it is not one.
/// @ingroup host
std::optional<ConfigChange> ChangeFromRow(const std::string& value);

}  // namespace pathcleat
