// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "pathcleat/http/http_message.hpp"

namespace pathcleat {

/// @brief Header with the token of a request that one host forwards to another.
/// @ingroup calls
inline constexpr const char* kForwardHeader = "Pathcleat-Forwarded";

/// @brief Header of an answer by which a host declines a forwarded request
/// before it does anything for it; another host may take the request.
/// @ingroup calls
inline constexpr const char* kForwardDeclinedHeader =
    "Pathcleat-Forward-Declined";

/// @brief Value of that header if the host declines because it stops.
/// @ingroup calls
inline constexpr const char* kDeclinedByStoppingHost = "stopping";

/// @brief What the first host tells the second about a forwarded request: what
/// it has decided already and what only the caller's connection shows.
/// @ingroup calls
struct ForwardContext {
  std::string from_host;
  std::string caller_ip;
  std::string account;                 ///< name; empty: the caller has none
  std::string service;                 ///< chosen for the request
  std::int64_t caller_timeout_us = 0;  ///< as the caller sent it
  std::int64_t time_left_us = 0;
  std::int32_t attempts_left = 1;  ///< at upstreams

  template <class Archive>
  void serialize(Archive& archive) {
    archive(from_host, caller_ip, account, service, caller_timeout_us,
            time_left_us, attempts_left);
  }
};

/// @brief Makes the token for a request: the context, authenticated together
/// with method, target and body by the key that all hosts of the fleet share.
/// @ingroup calls
std::string MakeForwardToken(const ForwardContext& context,
                             const HttpRequest& request,
                             const std::string& key);

/// @brief Reads a token; std::nullopt if it was not made with this key for this
/// request.
/// @ingroup calls
std::optional<ForwardContext> ReadForwardToken(const std::string& token,
                                               const HttpRequest& request,
                                               const std::string& key);

}  // namespace pathcleat
