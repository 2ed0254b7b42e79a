// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "operator_client.hpp"

#include <QEventLoop>
#include <QHostAddress>

#include "pathcleat/net/http_client_connection.hpp"
#include "pathcleat/net/http_status.hpp"

namespace pathcleat {
namespace {

constexpr std::chrono::seconds kTimeout{10};
constexpr std::uint64_t kLongestAnswer = 64ULL * 1024 * 1024;

Result<std::string> Exchange(const OperatorEndpoint& host,
                             const std::string& token,
                             HttpRequest request) {
  const std::string peer = host.address + ":" + std::to_string(host.port);
  request.headers.push_back({"Host", peer});
  request.headers.push_back({"Authorization", "Bearer " + token});
  HttpLimits limits;
  limits.body_bytes = kLongestAnswer;
  HttpClientConnection connection(host.address, host.port, limits, nullptr);
  QEventLoop loop;
  ClientResult result;
  connection.Send(request, kTimeout, [&](const ClientResult& answer) {
    result = answer;
    loop.quit();
  });
  loop.exec();
  if (result.outcome == ClientOutcome::kNotSent) {
    return Fail({ErrorCode::kUnreachable, "ask host", peer, result.detail});
  }
  if (result.outcome != ClientOutcome::kAnswered) {
    return Fail({ErrorCode::kUnknown, "ask host", peer, result.detail});
  }
  if (result.response.status != http_status::kOk) {
    return Fail({ErrorCode::kRefused, "ask host", peer, result.response.body});
  }
  return result.response.body;
}

}  // namespace

Result<OperatorEndpoint> ParseEndpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  const QString port = QString::fromStdString(
      colon == std::string::npos ? "" : text.substr(colon + 1));
  bool is_number = false;
  const ushort number = port.toUShort(&is_number);
  const std::string address = text.substr(0, colon);
  const QHostAddress parsed(QString::fromStdString(address));
  if (!is_number || parsed.isNull()) {
    return Fail({ErrorCode::kInvalid, "read arguments", text,
                 "expected a host's operator address as NUMBER:PORT, such as "
                 "127.1.1.1:9090"});
  }
  return OperatorEndpoint{address, number};
}

Result<std::string> SendCommand(const OperatorEndpoint& host,
                                const std::string& token,
                                const std::string& command) {
  return Exchange(host, token, {"POST", "/v1/query", {}, command});
}

Result<std::string> FetchTimeline(const OperatorEndpoint& host,
                                  const std::string& token) {
  return Exchange(host, token, {"GET", "/v1/timeline", {}, ""});
}

}  // namespace pathcleat
