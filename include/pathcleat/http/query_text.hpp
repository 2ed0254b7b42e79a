// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pathcleat {

/// @brief Value of a query parameter of a request target, decoded; nothing if
/// there is none of that name.
/// @ingroup http
std::optional<std::string> QueryValue(std::string_view target,
                                      std::string_view name);

/// @brief A text as it may stand in a query, percent-encoded where needed.
/// @ingroup http
std::string EncodeQueryText(std::string_view text);

}  // namespace pathcleat
