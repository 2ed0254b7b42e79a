// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/http/http_codec.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <string_view>
#include <utility>

#include "pathcleat/core/outside_bounds.hpp"

namespace pathcleat {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kTypicalHeaderBytes = 512;

template <class Fields>
HttpHeaders CopyHeaders(const Fields& fields) {
  HttpHeaders headers;
  for (const auto& field : fields) {
    headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return headers;
}

void AppendHeaders(std::string& bytes, const HttpHeaders& headers) {
  for (const HttpHeader& header : headers) {
    bytes += header.name;
    bytes += ": ";
    bytes += header.value;
    bytes += "\r\n";
  }
}

void AppendLength(std::string& bytes, std::size_t length) {
  bytes += "Content-Length: ";
  bytes += std::to_string(length);
  bytes += "\r\n";
}

bool MayHaveBody(const HttpRequest& request) {
  return !request.body.empty() || request.method == "POST" ||
         request.method == "PUT";
}

}  // namespace

HttpRequest FromBeast(BeastRequest message,
                      std::unique_ptr<MemoryLease> body_lease) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.headers = CopyHeaders(message);
  request.body = MessageBody(std::move(message.body()), std::move(body_lease));
  return request;
}

HttpResponse FromBeast(BeastResponse message,
                       std::unique_ptr<MemoryLease> body_lease) {
  HttpResponse response;
  response.status = static_cast<int>(message.result_int());
  response.headers = CopyHeaders(message);
  response.body = MessageBody(std::move(message.body()), std::move(body_lease));
  return response;
}

std::string SerializeHead(const HttpRequest& request) {
  std::string bytes;
  bytes.reserve(kTypicalHeaderBytes);
  bytes += request.method;
  bytes += ' ';
  bytes += request.target;
  bytes += " HTTP/1.1\r\n";
  AppendHeaders(bytes, request.headers);
  if (MayHaveBody(request)) {
    AppendLength(bytes, request.body.size());
  }
  bytes += "\r\n";
  return bytes;
}

// 1xx, 204 and 304 responses have no body and no Content-Length.
bool MayHaveBody(int status) {
  constexpr int kFirstFinal = 200;
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return status >= kFirstFinal && status != kNoContent &&
         status != kNotModified;
}

std::string SerializeHead(const HttpResponse& response, bool keep_alive) {
  const auto reason =
      http::obsolete_reason(http::int_to_status(response.status));
  std::string bytes;
  bytes.reserve(kTypicalHeaderBytes);
  bytes += "HTTP/1.1 ";
  bytes += std::to_string(response.status);
  bytes += ' ';
  bytes += std::string_view(reason.data(), reason.size());
  bytes += "\r\n";
  AppendHeaders(bytes, response.headers);
  if (MayHaveBody(response.status)) {
    AppendLength(bytes, response.body.size());
  }
  if (!keep_alive) {
    bytes += "Connection: close\r\n";
  }
  bytes += "\r\n";
  return bytes;
}

Duration KeepAliveTimeout(const HttpResponse& response) {
  const auto field = FindHeader(response.headers, "Keep-Alive");
  if (!field) {
    return Duration::zero();
  }
  constexpr std::string_view kName = "timeout=";
  const auto at = field->find(kName);
  if (at == std::string::npos) {
    return Duration::zero();
  }
  int seconds = 0;
  const char* begin = field->data() + at + kName.size();
  std::from_chars(begin, field->data() + field->size(), seconds);
  return ClampOutside(std::chrono::seconds(seconds));
}

}  // namespace pathcleat
