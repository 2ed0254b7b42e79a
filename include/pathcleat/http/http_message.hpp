// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pathcleat {

/// @brief One header field; names compare without regard to case.
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

/// @brief A whole HTTP request.
/// @ingroup http
struct HttpRequest {
  std::string method;
  std::string target;
  HttpHeaders headers;
  std::string body;
};

/// @brief A whole HTTP response.
/// @ingroup http
struct HttpResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

/// @brief Value of the first field called name, if there is one.
/// @ingroup http
std::optional<std::string> FindHeader(const HttpHeaders& headers,
                                      std::string_view name);

/// @brief The fields that go end to end: all but the connection's own, those
/// named by Connection, and the framing fields.
/// @ingroup http
HttpHeaders EndToEndHeaders(const HttpHeaders& headers);

/// @brief A response with a plain-text body.
/// @ingroup http
HttpResponse TextResponse(int status, std::string text);

/// @brief A response with a JSON body.
/// @ingroup http
HttpResponse JsonResponse(int status, std::string json);

}  // namespace pathcleat
