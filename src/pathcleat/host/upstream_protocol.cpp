// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/host/upstream_protocol.hpp"
#include "pathcleat/net/http_status.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace pathcleat {
namespace {

constexpr const char* kDeadlineHeader = "X-Deadline-Ms";
constexpr const char* kRequestIdHeader = "X-Request-Id";
constexpr const char* kStateHeader = "X-Upstream-State";
constexpr const char* kLeaving = "leaving";

std::string HostField(const Upstream& upstream) {
  return upstream.address + ":" + std::to_string(upstream.port);
}

}  // namespace

HttpRequest ToUpstream(const HttpRequest& request,
                       const Upstream& upstream,
                       const RequestId& id,
                       Duration time_left) {
  HttpRequest out = request;
  out.headers = EndToEndHeaders(request.headers);
  std::erase_if(out.headers, [](const HttpHeader& header) {
    return header.name == kDeadlineHeader || header.name == kRequestIdHeader ||
           header.name == "Expect" || header.name == "expect";
  });
  if (!FindHeader(out.headers, "Host")) {
    out.headers.push_back({"Host", HostField(upstream)});
  }
  const auto milliseconds =
      std::max<Duration::rep>(1, time_left.count() / 1'000);
  out.headers.push_back({kDeadlineHeader, std::to_string(milliseconds)});
  out.headers.push_back({kRequestIdHeader, ToString(id)});
  return out;
}

HttpRequest HealthProbe(const Service& service, const Upstream& upstream) {
  return {"GET", service.health_path, {{"Host", HostField(upstream)}}, ""};
}

UpstreamState StateFromProbe(const HttpResponse& response) {
  if (SaysLeaving(response)) {
    return UpstreamState::kLeaving;
  }
  if (response.status != http_status::kOk) {
    return UpstreamState::kFailed;
  }
  const auto body = nlohmann::json::parse(response.body, nullptr, false);
  const bool leaving =
      body.is_object() && body.contains("state") && body["state"] == kLeaving;
  return leaving ? UpstreamState::kLeaving : UpstreamState::kServing;
}

bool SaysLeaving(const HttpResponse& response) {
  return FindHeader(response.headers, kStateHeader) == kLeaving;
}

}  // namespace pathcleat
