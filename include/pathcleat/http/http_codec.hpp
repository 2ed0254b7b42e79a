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

/// @brief Beast's parsed message as the project's value type.
/// @ingroup http
HttpRequest FromBeast(BeastRequest message);
HttpResponse FromBeast(BeastResponse message);

/// @brief A request's bytes, framed by Content-Length, kept alive.
/// @ingroup http
std::string SerializeRequest(const HttpRequest& request);

/// @brief A response's bytes, framed by Content-Length.
/// @param head the request was HEAD: the header alone.
/// @ingroup http
std::string SerializeResponse(const HttpResponse& response,
                              bool keep_alive,
                              bool head);

/// @brief How long the peer says that it keeps an idle connection: the
/// "timeout" of its Keep-Alive field, in whole seconds; zero: unsaid.
/// @ingroup http
Duration KeepAliveTimeout(const HttpResponse& response);

}  // namespace pathcleat
