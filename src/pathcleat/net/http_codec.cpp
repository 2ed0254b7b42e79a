// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "http_codec.hpp"

#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace pathcleat {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kHttpVersion = 11;

template <class Fields>
HttpHeaders CopyHeaders(const Fields& fields) {
  HttpHeaders headers;
  for (const auto& field : fields) {
    headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return headers;
}

template <class Message>
void InsertHeaders(Message& message, const HttpHeaders& headers) {
  for (const HttpHeader& header : headers) {
    message.insert(header.name, header.value);
  }
}

// Appends each buffer the serializer gives to a byte array.
class AppendVisitor {
 public:
  explicit AppendVisitor(QByteArray& out) : out_(out) {}

  template <class Buffers>
  void operator()(boost::beast::error_code& error, const Buffers& buffers) {
    error = {};
    used_ = 0;
    for (const auto& buffer : boost::beast::buffers_range_ref(buffers)) {
      out_.append(static_cast<const char*>(buffer.data()),
                  static_cast<qsizetype>(buffer.size()));
      used_ += buffer.size();
    }
  }

  std::size_t used() const { return used_; }

 private:
  QByteArray& out_;
  std::size_t used_ = 0;
};

template <bool IsRequest>
QByteArray Serialize(const http::message<IsRequest, http::string_body>& message,
                     bool header_only) {
  QByteArray bytes;
  http::serializer<IsRequest, http::string_body> serializer(message);
  serializer.split(header_only);
  AppendVisitor visitor(bytes);
  boost::beast::error_code error;
  while (!serializer.is_done()) {
    serializer.next(error, visitor);
    serializer.consume(visitor.used());
    if (error || (header_only && serializer.is_header_done())) {
      break;
    }
  }
  return bytes;
}

}  // namespace

HttpRequest FromBeast(BeastRequest message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.headers = CopyHeaders(message);
  request.body = std::move(message.body());
  return request;
}

HttpResponse FromBeast(BeastResponse message) {
  HttpResponse response;
  response.status = static_cast<int>(message.result_int());
  response.headers = CopyHeaders(message);
  response.body = std::move(message.body());
  return response;
}

QByteArray SerializeRequest(const HttpRequest& request) {
  BeastRequest message;
  message.version(kHttpVersion);
  message.method_string(request.method);
  message.target(request.target);
  InsertHeaders(message, request.headers);
  message.body() = request.body;
  if (!request.body.empty() || message.method() == http::verb::post ||
      message.method() == http::verb::put) {
    message.content_length(request.body.size());
  }
  return Serialize(message, false);
}

QByteArray SerializeResponse(const HttpResponse& response,
                             bool keep_alive,
                             bool head) {
  BeastResponse message;
  message.version(kHttpVersion);
  message.result(static_cast<unsigned>(response.status));
  InsertHeaders(message, response.headers);
  message.body() = response.body;
  message.content_length(response.body.size());
  message.keep_alive(keep_alive);
  return Serialize(message, head);
}

}  // namespace pathcleat
