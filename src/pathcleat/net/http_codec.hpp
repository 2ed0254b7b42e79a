// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <QByteArray>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "pathcleat/net/http_message.hpp"

namespace pathcleat {

using BeastRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using BeastResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

/// @brief Beast's parsed message as our value type.
HttpRequest FromBeast(BeastRequest message);
HttpResponse FromBeast(BeastResponse message);

/// @brief A request's bytes, framed by Content-Length, kept alive.
QByteArray SerializeRequest(const HttpRequest& request);

/// @brief A response's bytes, framed by Content-Length.
/// @param head the request was HEAD: the header alone.
QByteArray SerializeResponse(const HttpResponse& response,
                             bool keep_alive,
                             bool head);

}  // namespace pathcleat
