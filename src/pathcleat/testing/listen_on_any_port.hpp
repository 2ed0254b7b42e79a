// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <criterion/criterion.h>

#include <cstdint>
#include <string>

#include "pathcleat/http/http_server.hpp"

namespace pathcleat {

/// @brief Makes a server or stand-in listen on a free port; fails the test if
/// it cannot.
/// @return the port.
template <class Server>
std::uint16_t ListenOnAnyPort(Server& server, const std::string& address) {
  std::uint16_t port = 0;
  TryOr(
      [&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(port, server.Listen(address, 0));
        return {};
      },
      [](const Error&) {});
  cr_assert_gt(port, 0);
  return port;
}

}  // namespace pathcleat
