// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>

#include "pathcleat/http/http_message.hpp"

namespace pathcleat {

/// @brief Why a server rejected a request before its handler, or closed a
/// connection.
/// @ingroup http
enum class RejectionCause : std::uint8_t {
  kMalformed,           ///< no HTTP, or its end cannot be known
  kHeaderTooLarge,      ///< header, trailers or the line before a chunk
  kBodyTooLarge,        ///< beyond the limit, or beyond what the host can hold
  kTimedOut,            ///< not complete within the read timeout
  kTooManyConnections,  ///< evicted for another caller
  kNoMemory,            ///< the memory budget is used up
  kStalled,             ///< given up, as others needed its memory
  kUnreadAnswer,        ///< the caller did not read its answer
};

/// @brief Name of a cause, for logs and metrics.
/// @ingroup http
const char* ToString(RejectionCause cause);

/// @brief HTTP status that tells a caller of a rejection; 0: the connection is
/// closed without an answer.
/// @ingroup http
int StatusOf(RejectionCause cause);

/// @brief The answer that tells a caller of a rejection.
/// @ingroup http
HttpResponse ResponseTo(RejectionCause cause);

/// @brief A request that a server rejected.
/// @ingroup http
struct Rejection {
  RejectionCause cause = RejectionCause::kMalformed;
  std::string caller_ip;
  std::string request_id;  ///< as the caller stated it; empty if not known
};

}  // namespace pathcleat
