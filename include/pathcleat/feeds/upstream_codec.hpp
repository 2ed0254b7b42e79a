// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pathcleat/routing/upstream_info.hpp"

namespace pathcleat {

/// @brief Entries of the list in few bytes, as hosts tell them each other: each
/// name of a service, domain or version once, addresses as numbers. An
/// entry of a large list is 36 bytes at most; field by field it was 116,
/// reckoned.
/// @ingroup feeds
std::string EncodeUpstreams(const std::vector<UpstreamInfo>& upstreams);

/// @brief Reads them back; nothing if the bytes are none.
/// @ingroup feeds
std::optional<std::vector<UpstreamInfo>> DecodeUpstreams(
    std::string_view bytes);

}  // namespace pathcleat
