// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "pathcleat/fleet/host_capacity.hpp"
#include "pathcleat/fleet/host_info.hpp"

namespace pathcleat {

/// @brief Appends a capacity: 6 bytes, cores in hundredths.
/// @ingroup fleet
void AppendCapacity(const HostCapacity& capacity, std::string& bytes);

/// @brief Reads a capacity from the front of `bytes` and removes it there.
/// @return whether `bytes` held a capacity; else nothing is changed.
/// @ingroup fleet
bool TakeCapacity(std::string_view& bytes, HostCapacity& capacity);

/// @brief Whether the numbers of a record that another host sent are in range.
/// @ingroup fleet
bool IsInRange(const HostInfo& host);

/// @brief Encodes a host's row in the store. The capacity follows the record if
/// the host states one.
/// @ingroup fleet
std::string EncodeHostRow(const HostInfo& host);

/// @brief Decodes a host's row, also of a host that states no capacity;
/// `std::nullopt` if the bytes are not a row.
/// @ingroup fleet
std::optional<HostInfo> DecodeHostRow(std::string_view bytes);

}  // namespace pathcleat
