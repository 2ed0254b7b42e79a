// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/beast/http/message.hpp>
#include <memory>
#include <string>

#include "pathcleat/core/memory_budget.hpp"
#include "pathcleat/core/time.hpp"
#include "pathcleat/http/buffer_body.hpp"
#include "pathcleat/http/http_message.hpp"

namespace pathcleat {

using BeastRequest = boost::beast::http::request<BufferBody>;
using BeastResponse = boost::beast::http::response<BufferBody>;

/// @brief Converts a message parsed by Beast to the project's type.
/// @param body_lease memory of the body; may be null.
/// @ingroup http
HttpRequest FromBeast(BeastRequest message,
                      std::unique_ptr<MemoryLease> body_lease);
HttpResponse FromBeast(BeastResponse message,
                       std::unique_ptr<MemoryLease> body_lease);

/// @brief Serializes what precedes a request's body, with Content-Length; the
/// connection is kept alive.
/// @ingroup http
std::string SerializeHead(const HttpRequest& request);

/// @brief Serializes what precedes a response's body, with Content-Length.
/// @ingroup http
std::string SerializeHead(const HttpResponse& response, bool keep_alive);

/// @brief Whether a response with this status may have a body.
/// @ingroup http
bool MayHaveBody(int status);

/// @brief How long the peer keeps an idle connection open: the "timeout" of its
/// Keep-Alive header, in whole seconds; zero if not stated.
/// @ingroup http
Duration KeepAliveTimeout(const HttpResponse& response);

}  // namespace pathcleat
