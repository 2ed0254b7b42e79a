// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "pathcleat/core/error.hpp"

namespace pathcleat {

/// @brief Address and port on which a host accepts operator commands.
struct OperatorEndpoint {
  boost::asio::ip::tcp::endpoint endpoint;
};

/// @brief Parses "ADDRESS:PORT".
/// @return the endpoint; kInvalid if `text` has another form.
Result<OperatorEndpoint> ParseEndpoint(const std::string& text);

/// @brief Sends an operator command to a host and waits for the answer.
/// @return the answer's text; kRefused with the answer's text if the host
/// rejected the command, kUnreachable if the command could not be sent,
/// kUnknown if no complete answer was received.
Result<std::string> SendCommand(const OperatorEndpoint& host,
                                const std::string& token,
                                const std::string& command);

/// @brief Fetches the events that a host keeps, one JSON object per line.
/// @return the lines; the same errors as SendCommand().
Result<std::string> FetchTimeline(const OperatorEndpoint& host,
                                  const std::string& token);

}  // namespace pathcleat
