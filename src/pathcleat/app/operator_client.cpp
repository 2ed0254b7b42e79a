// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "operator_client.hpp"

#include <boost/asio/io_context.hpp>
#include <memory>

#include "pathcleat/http/endpoint.hpp"
#include "pathcleat/http/http_client.hpp"
#include "pathcleat/http/http_status.hpp"

namespace pathcleat {
namespace {

constexpr std::chrono::seconds kTimeout{10};
constexpr std::uint64_t kMaxAnswerBytes = 64ULL * 1024 * 1024;

Result<std::string> SendRequest(const OperatorEndpoint& host,
                                const std::string& token,
                                HttpRequest request) {
  const std::string peer = host.endpoint.address().to_string() + ":" +
                           std::to_string(host.endpoint.port());
  request.headers.push_back({"Host", peer});
  request.headers.push_back({"Authorization", "Bearer " + token});
  HttpLimits limits;
  limits.max_body_bytes = kMaxAnswerBytes;
  boost::asio::io_context loop;
  const auto client = std::make_shared<HttpClient>(loop, host.endpoint, limits);
  CallResult result;
  client->Send(request, {kTimeout, kTimeout},
               [&loop, &result](const CallResult& answer) {
                 result = answer;
                 loop.stop();
               });
  loop.run();
  if (result.outcome == CallOutcome::kNotSent) {
    return Fail({ErrorCode::kUnreachable, "query host", peer, result.detail});
  }
  if (result.outcome != CallOutcome::kAnswered) {
    return Fail({ErrorCode::kUnknown, "query host", peer, result.detail});
  }
  if (result.response.status != http_status::kOk) {
    return Fail(
        {ErrorCode::kRefused, "query host", peer, result.response.body.str()});
  }
  return result.response.body.str();
}

}  // namespace

Result<OperatorEndpoint> ParseEndpoint(const std::string& text) {
  const auto endpoint = ParseTcpEndpoint(text);
  if (!endpoint) {
    return Fail({ErrorCode::kInvalid, "read arguments", text,
                 "expected a host's operator address as NUMBER:PORT, such as "
                 "127.1.1.1:9090"});
  }
  return OperatorEndpoint{*endpoint};
}

Result<std::string> SendCommand(const OperatorEndpoint& host,
                                const std::string& token,
                                const std::string& command) {
  return SendRequest(host, token, {"POST", "/v1/query", {}, command});
}

Result<std::string> FetchTimeline(const OperatorEndpoint& host,
                                  const std::string& token) {
  return SendRequest(host, token, {"GET", "/v1/timeline", {}, ""});
}

}  // namespace pathcleat
