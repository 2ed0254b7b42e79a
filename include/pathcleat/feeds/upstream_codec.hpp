// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pathcleat/routing/upstream_info.hpp"

namespace pathcleat {

/// @brief Encodes a list of upstreams compactly for transfer between hosts:
/// each name of a service, domain or version is written once, and addresses are
/// written as numbers. An entry of a large list takes at most 36 bytes, instead
/// of 116 bytes with every field written out.
/// @ingroup feeds
std::string EncodeUpstreams(const std::vector<UpstreamInfo>& upstreams);

/// @brief Decodes a list of upstreams; `std::nullopt` if the bytes are not such
/// a list.
/// @ingroup feeds
std::optional<std::vector<UpstreamInfo>> DecodeUpstreams(
    std::string_view bytes);

}  // namespace pathcleat
