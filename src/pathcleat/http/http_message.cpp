// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/http/http_message.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <utility>

namespace pathcleat {
namespace {

using boost::beast::iequals;

constexpr std::array<std::string_view, 9> kHopByHop = {
    "connection",       "keep-alive",
    "proxy-connection", "te",
    "trailer",          "transfer-encoding",
    "upgrade",          "proxy-authenticate",
    "content-length"};

bool IsHopByHop(std::string_view name) {
  return std::any_of(kHopByHop.begin(), kHopByHop.end(),
                     [name](auto hop) { return iequals(name, hop); });
}

bool IsNamedByConnection(const HttpHeaders& headers, std::string_view name) {
  return std::any_of(
      headers.begin(), headers.end(), [name](const HttpHeader& header) {
        return iequals(header.name, "connection") &&
               boost::beast::http::token_list(header.value).exists(name);
      });
}

HttpResponse TypedResponse(int status, const char* type, std::string body) {
  return {status, {{"Content-Type", type}}, std::move(body)};
}

}  // namespace

std::optional<std::string> FindHeader(const HttpHeaders& headers,
                                      std::string_view name) {
  const auto found = std::find_if(
      headers.begin(), headers.end(),
      [name](const HttpHeader& header) { return iequals(header.name, name); });
  if (found == headers.end()) {
    return std::nullopt;
  }
  return found->value;
}

HttpHeaders EndToEndHeaders(const HttpHeaders& headers) {
  HttpHeaders kept;
  for (const HttpHeader& header : headers) {
    if (!IsHopByHop(header.name) &&
        !IsNamedByConnection(headers, header.name)) {
      kept.push_back(header);
    }
  }
  return kept;
}

HttpResponse TextResponse(int status, std::string text) {
  return TypedResponse(status, "text/plain; charset=utf-8", std::move(text));
}

HttpResponse JsonResponse(int status, std::string json) {
  return TypedResponse(status, "application/json", std::move(json));
}

}  // namespace pathcleat
