// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pathcleat/http/message_body.hpp"

namespace pathcleat {

/// @brief One header field; names are case-insensitive.
/// @ingroup http
struct HttpHeader {
  std::string name;
  std::string value;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, value);
  }
};

using HttpHeaders = std::vector<HttpHeader>;

/// @brief A complete HTTP request.
/// @ingroup http
struct HttpRequest {
  std::string method;
  std::string target;
  HttpHeaders headers;
  MessageBody body;
};

/// @brief A complete HTTP response.
/// @ingroup http
struct HttpResponse {
  int status = 0;
  HttpHeaders headers;
  MessageBody body;
};

/// @brief Value of the first header with this name, if any.
/// @ingroup http
std::optional<std::string> FindHeader(const HttpHeaders& headers,
                                      std::string_view name);

/// @brief Returns the headers that a proxy forwards: all except Content-Length,
/// the hop-by-hop headers and the headers that Connection names.
/// @ingroup http
HttpHeaders EndToEndHeaders(const HttpHeaders& headers);

/// @brief Creates a response with a plain-text body.
/// @ingroup http
HttpResponse TextResponse(int status, std::string text);

/// @brief Creates a response with a JSON body.
/// @ingroup http
HttpResponse JsonResponse(int status, std::string json);

}  // namespace pathcleat
