// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace pathcleat {

/// @brief Parses "IP:PORT". Host names are not resolved, but rejected.
/// @ingroup http
std::optional<boost::asio::ip::tcp::endpoint> ParseTcpEndpoint(
    std::string_view text);

}  // namespace pathcleat
