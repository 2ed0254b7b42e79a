// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// The servers of an entry host: their limits.
#include "pathcleat/gateway/gateway.hpp"

#include <string>

#include "pathcleat/settings/host_limits.hpp"

namespace pathcleat {
namespace {

// Requests at the interfaces that serve readiness, locating and metrics have no
// body; operators send a line of text.
constexpr std::uint64_t kMaxServiceBodyBytes = 64ULL * 1024;

}  // namespace

void Gateway::LimitServers() {
  const ConnectionLimits limits =
      DivideDescriptors(MaxDescriptors(state_.settings.max_descriptors));
  max_caller_connections_ = limits.callers;
  LimitServer(caller_server_, "callers", limits.callers);
  LimitServer(locate_server_, "locate", limits.locate);
  LimitServer(fleet_sync_.peer_server(), "peers", limits.peers);
  LimitServer(readiness_server_, "readiness", limits.others);
  LimitServer(operator_server_, "operators", limits.others);
  LimitServer(metrics_server_, "metrics", limits.others);
  HttpLimits service_limits;
  service_limits.max_body_bytes = kMaxServiceBodyBytes;
  for (HttpServer* server : {&locate_server_, &readiness_server_,
                             &operator_server_, &metrics_server_}) {
    server->SetLimits(service_limits);
  }
}

void Gateway::LimitServer(HttpServer& server,
                          const std::string& listener,
                          std::size_t max_connections) {
  server.SetMemoryBudget(state_.memory_budget);
  server.ContainFailures(state_.failures);
  server.SetMaxConnections(max_connections);
  server.SetRequestIdHeader(state_.headers.request_id);
  server.OnRejected([this, listener](const Rejection& rejection) {
    state_.rejections.Record(listener, rejection, BootClock::now());
  });
}

}  // namespace pathcleat
