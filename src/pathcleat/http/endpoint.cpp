// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/http/endpoint.hpp"

#include <charconv>
#include <string>

namespace pathcleat {

std::optional<boost::asio::ip::tcp::endpoint> ParseTcpEndpoint(
    std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto parsed = std::from_chars(
      port_text.data(), port_text.data() + port_text.size(), port);
  boost::system::error_code error;
  const auto address =
      boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
  const bool whole = parsed.ec == std::errc() &&
                     parsed.ptr == port_text.data() + port_text.size();
  if (error || !whole) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(address, port);
}

}  // namespace pathcleat
