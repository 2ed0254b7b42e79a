// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/host/upstream_pool.hpp"

namespace pathcleat {
namespace {
// Shorter than the idle time after which common servers close: a connection
// in use is then not about to be closed by its other end.
constexpr Duration kMostIdle{2'000'000};
constexpr std::size_t kMostKept = 16;
}  // namespace

UpstreamPool::UpstreamPool(const HostSettings& settings, QObject* parent)
    : QObject(parent), settings_(settings) {}

HttpClientConnection* UpstreamPool::Take(UpstreamIndex upstream) {
  auto& idle = idle_[upstream];
  const Time now = BootClock::now();
  while (!idle.empty()) {
    const Idle newest = idle.back();
    idle.pop_back();
    if (now - newest.since < kMostIdle && newest.connection->IsReusable()) {
      return newest.connection;
    }
    newest.connection->deleteLater();
  }
  const Upstream& target = settings_.deployment.At(upstream);
  HttpLimits limits;
  limits.body_bytes = settings_.max_answer_bytes;
  return new HttpClientConnection(target.address, target.port, limits, this);
}

void UpstreamPool::GiveBack(UpstreamIndex upstream,
                            HttpClientConnection* connection) {
  auto& idle = idle_[upstream];
  if (idle.size() < kMostKept && connection->IsReusable()) {
    idle.push_back({connection, BootClock::now()});
  } else {
    connection->deleteLater();
  }
}

}  // namespace pathcleat
