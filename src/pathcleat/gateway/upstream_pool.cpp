// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/upstream_pool.hpp"

#include <algorithm>

#include "pathcleat/http/endpoint.hpp"

namespace pathcleat {
namespace {

// Idle time after which a connection is not used, where the upstream says
// nothing of its own.
constexpr Duration kLongestIdle{4'000'000};
// An upstream's stated time, less this, is relied on.
constexpr Duration kKeepAliveMargin{1'500'000};
constexpr std::uint64_t kLargestAnswer = 64ULL * 1024 * 1024;

HttpLimits AnswerLimits() {
  HttpLimits limits;
  limits.body_bytes = kLargestAnswer;
  return limits;
}

}  // namespace

bool UpstreamPool::IsFresh(const HttpClient& client, Time now) {
  const Duration stated = client.keep_alive();
  const Duration longest =
      stated > Duration::zero()
          ? std::max(stated - kKeepAliveMargin, kKeepAliveMargin / 2)
          : kLongestIdle;
  return client.IsReusable() && now - client.idle_since() < longest;
}

HttpClientPtr UpstreamPool::Take(const UpstreamInfo& upstream, Time now) {
  auto& idle = idle_[upstream.id];
  while (!idle.empty()) {
    HttpClientPtr client = std::move(idle.back());
    idle.pop_back();
    if (IsFresh(*client, now)) {
      return client;
    }
    client->Cancel();
  }
  const auto endpoint = ParseTcpEndpoint(upstream.address);
  return std::make_shared<HttpClient>(
      loop_, endpoint.value_or(boost::asio::ip::tcp::endpoint()),
      AnswerLimits());
}

void UpstreamPool::Return(const std::string& upstream_id,
                          const HttpClientPtr& client) {
  if (client->IsReusable()) {
    idle_[upstream_id].push_back(client);
  }
}

void UpstreamPool::Drop(const std::string& upstream_id) {
  const auto found = idle_.find(upstream_id);
  if (found == idle_.end()) {
    return;
  }
  for (const HttpClientPtr& client : found->second) {
    client->Cancel();
  }
  idle_.erase(found);
}

void UpstreamPool::CloseIdle(Time now) {
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    std::erase_if(entry->second, [now](const HttpClientPtr& client) {
      const bool stale = !IsFresh(*client, now);
      if (stale) {
        client->Cancel();
      }
      return stale;
    });
    entry = entry->second.empty() ? idle_.erase(entry) : std::next(entry);
  }
}

}  // namespace pathcleat
