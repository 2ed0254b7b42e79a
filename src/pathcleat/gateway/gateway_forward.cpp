// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Requests that hosts which do not reach the upstreams forward to this host.

#include <string>
#include <utility>

#include "pathcleat/calls/forward_token.hpp"
#include "pathcleat/calls/upstream_protocol.hpp"
#include "pathcleat/gateway/gateway.hpp"
#include "pathcleat/gateway/request_handler.hpp"
#include "pathcleat/http/http_status.hpp"

namespace pathcleat {
namespace {

// Bounds what many isolated hosts together may take of this host.
constexpr int kMaxForwardedInFlight = 128;

constexpr const char* kStopping = "stopping";

void Decline(const HttpExchangePtr& exchange, const std::string& reason) {
  HttpResponse response = NotRunResponse(reason, Duration::zero());
  response.headers.push_back(
      {kForwardDeclinedHeader,
       reason == kStopping ? kDeclinedByStoppingHost : "1"});
  exchange->Respond(std::move(response));
}

}  // namespace

// Returns why this host does not take a forwarded request; empty if it does.
std::string Gateway::ReasonToDecline(const Route* route) const {
  if (state_.reach.IsIsolated()) {
    return "isolated as well";
  }
  if (!fleet_sync_.IsLoaded() || IsTooFarBehind() || route == nullptr) {
    return kConfigBehind;
  }
  if (state_.leaving) {
    return kStopping;
  }
  if (state_.forwards.received_in_flight >= kMaxForwardedInFlight) {
    return "too many forwarded requests";
  }
  return "";
}

void Gateway::HandleForwarded(const HttpExchangePtr& exchange) {
  HandleStall(BootClock::now());
  const HttpRequest& request = exchange->request();
  auto context =
      ReadForwardToken(FindHeader(request.headers, kForwardHeader).value_or(""),
                       request, state_.fleet_key);
  if (!context) {
    state_.events.Record(EventCode::kPeerRejected, exchange->caller_ip(),
                         "forwarded request has no valid MAC of this fleet");
    exchange->Respond(TextResponse(http_status::kForbidden, "no valid MAC\n"));
    return;
  }
  exchange->SetCallerIp(context->caller_ip);
  auto route = state_.routes.Find(
      FindHeader(request.headers, "Host").value_or(""), request.target);
  auto account = state_.accounts.ShareByName(context->account);
  std::string reason = ReasonToDecline(route.get());
  if (reason.empty() && !account && !context->account.empty()) {
    reason = kConfigBehind;
  }
  if (!reason.empty()) {
    ++state_.forwards.declined;
    Decline(exchange, reason);
    return;
  }
  ++state_.forwards.received;
  std::make_shared<RequestHandler>(state_, exchange, std::move(route),
                                   std::move(account), std::move(context))
      ->Start();
}

// Once the host reaches upstreams again, what it learnt during the isolation
// about single upstreams no longer applies.
void Gateway::OnReachChange() {
  const bool isolated = state_.reach.IsIsolated();
  if (state_.settings.policy.IsEnabled(Mechanism::kIsolationNews)) {
    state_.hosts.SetIsolated(isolated);
    peer_link_.PublishHeartbeat();
  }
  if (isolated) {
    state_.in_flight_requests.OnHostIsolated();
    return;
  }
  for (const UpstreamPtr& upstream : state_.upstreams.All()) {
    upstream->health.ForgetFailures();
  }
}

}  // namespace pathcleat
