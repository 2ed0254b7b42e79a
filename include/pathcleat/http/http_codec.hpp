// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>

#include "pathcleat/core/time.hpp"
#include "pathcleat/http/http_message.hpp"

namespace pathcleat {

using BeastRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using BeastResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

/// @brief Converts a message parsed by Beast to the project's type.
/// @ingroup http
HttpRequest FromBeast(BeastRequest message);
HttpResponse FromBeast(BeastResponse message);

/// @brief Serializes a request with Content-Length; the connection is kept
/// alive.
/// @ingroup http
std::string SerializeRequest(const HttpRequest& request);

/// @brief Serializes a response with Content-Length.
/// @param head whether the request was HEAD: the body is left out.
/// @ingroup http
std::string SerializeResponse(const HttpResponse& response,
                              bool keep_alive,
                              bool head);

/// @brief How long the peer keeps an idle connection open: the "timeout" of its
/// Keep-Alive header, in whole seconds; zero if not stated.
/// @ingroup http
Duration KeepAliveTimeout(const HttpResponse& response);

}  // namespace pathcleat
