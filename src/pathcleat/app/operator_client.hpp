// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "pathcleat/core/error.hpp"

namespace pathcleat {

/// @brief A host's operator port as an operator gives it: "ADDRESS:PORT".
struct OperatorEndpoint {
  boost::asio::ip::tcp::endpoint endpoint;
};

/// @brief Reads "ADDRESS:PORT"; kInvalid if it is not that.
Result<OperatorEndpoint> ParseEndpoint(const std::string& text);

/// @brief Gives a command to a host and waits for the answer.
/// @return the answer's text; kRefused with the text if the host declined,
/// kUnreachable or kUnknown if no whole answer came.
Result<std::string> SendCommand(const OperatorEndpoint& host,
                                const std::string& token,
                                const std::string& command);

/// @brief The events a host keeps, one JSON line each.
Result<std::string> FetchTimeline(const OperatorEndpoint& host,
                                  const std::string& token);

}  // namespace pathcleat
