// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/connection_pool.hpp"

#include <algorithm>

#include "pathcleat/http/endpoint.hpp"

namespace pathcleat {
namespace {

// Idle time after which a connection is not reused if the upstream states no
// keep-alive time-out of its own.
constexpr Duration kMaxIdleTime{4'000'000};
// Safety margin that is subtracted from an upstream's stated keep-alive
// time-out.
constexpr Duration kKeepAliveMargin{1'500'000};
// How long a silence of an upstream is recorded. After this time, TCP has
// closed all connections that were opened before the silence: it detects a
// silent connection in use within kAckTimeout, and a silent idle connection one
// second later, after the first keep-alive probe.
constexpr Duration kSilenceTtl = kAckTimeout * 2;
constexpr std::uint64_t kMaxAnswerBytes = 64ULL * 1024 * 1024;

HttpLimits AnswerLimits() {
  HttpLimits limits;
  limits.max_body_bytes = kMaxAnswerBytes;
  return limits;
}

}  // namespace

bool ConnectionPool::IsFresh(const HttpClient& client, Time now) {
  const Duration stated_timeout = client.keep_alive_timeout();
  const Duration max_idle_time =
      stated_timeout > Duration::zero()
          ? std::max(stated_timeout - kKeepAliveMargin, kKeepAliveMargin / 2)
          : kMaxIdleTime;
  return client.IsReusable() && now - client.idle_since() < max_idle_time;
}

HttpClientPtr ConnectionPool::Acquire(const UpstreamInfo& upstream,
                                      bool repeatable,
                                      Time now) {
  HttpClientPtr connection = AcquireIdle(upstream, now);
  if (!connection) {
    return Create(upstream);
  }
  const Duration idle_time = now - connection->idle_since();
  if (!repeatable &&
      idle_time > idle_reuse_limits_[upstream.service].MaxIdle(now)) {
    // AcquireIdle returned the most recently used connection, so all other idle
    // connections have been idle for longer.
    Release(upstream.id, connection);
    return Create(upstream);
  }
  return connection;
}

void ConnectionPool::OnStaleConnection(const UpstreamInfo& upstream,
                                       Duration idle_time,
                                       Time now) {
  idle_reuse_limits_[upstream.service].OnStaleConnection(idle_time, now);
}

// Returns the most recently used idle connection that is still fresh, or null
// if there is none. Discards connections that are no longer fresh.
HttpClientPtr ConnectionPool::AcquireIdle(const UpstreamInfo& upstream,
                                          Time now) {
  auto& idle = idle_[upstream.id];
  while (!idle.empty()) {
    HttpClientPtr client = std::move(idle.back());
    idle.pop_back();
    if (IsFresh(*client, now)) {
      return client;
    }
    Discard(client);
  }
  return nullptr;
}

HttpClientPtr ConnectionPool::Create(const UpstreamInfo& upstream) {
  const auto endpoint = ParseTcpEndpoint(upstream.address);
  auto client = std::make_shared<HttpClient>(
      loop_, endpoint.value_or(boost::asio::ip::tcp::endpoint()),
      AnswerLimits());
  client->BindLocalAddress(local_address_);
  client->SetMemoryBudget(memory_budget_);
  return client;
}

void ConnectionPool::Release(const std::string& upstream_id,
                             const HttpClientPtr& client) {
  if (client->IsReusable()) {
    idle_[upstream_id].push_back(client);
  }
}

void ConnectionPool::CloseConnections(const std::string& upstream_id) {
  const auto found = idle_.find(upstream_id);
  if (found == idle_.end()) {
    return;
  }
  for (const HttpClientPtr& client : found->second) {
    client->Cancel();
  }
  idle_.erase(found);
}

void ConnectionPool::Discard(const HttpClientPtr& client) {
  silent_count_ += client->IsSilent() ? 1 : 0;
  client->Cancel();
}

bool ConnectionPool::OnSilentConnection(const std::string& upstream_id,
                                        const HttpClient& client,
                                        Time now) {
  ++silent_count_;
  const auto last = silence_times_.find(upstream_id);
  if (last != silence_times_.end() && client.opened_at() <= last->second) {
    return false;
  }
  silence_times_[upstream_id] = now;
  if (!IsOtherUpstreamSilent(upstream_id, now)) {
    CloseUnresponsive(idle_[upstream_id], now);
    return true;
  }
  for (auto& [upstream, connections] : idle_) {
    CloseUnresponsive(connections, now);
  }
  return true;
}

bool ConnectionPool::IsOtherUpstreamSilent(const std::string& upstream_id,
                                           Time now) const {
  return std::any_of(silence_times_.begin(), silence_times_.end(),
                     [&upstream_id, now](const auto& silence) {
                       return silence.first != upstream_id &&
                              now - silence.second < kAckTimeout;
                     });
}

// A silence is detected after kMinSilence at the earliest, so connections that
// have received bytes within that time still work.
void ConnectionPool::CloseUnresponsive(Connections& connections, Time now) {
  std::erase_if(connections, [now](const HttpClientPtr& client) {
    const bool is_unresponsive = now - client->last_byte_at() >= kMinSilence;
    if (is_unresponsive) {
      client->Cancel();
    }
    return is_unresponsive;
  });
}

void ConnectionPool::CloseIdle(Time now) {
  std::erase_if(silence_times_, [now](const auto& silence) {
    return now - silence.second >= kSilenceTtl;
  });
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    std::erase_if(entry->second, [this, now](const HttpClientPtr& client) {
      const bool is_stale = !IsFresh(*client, now);
      if (is_stale) {
        Discard(client);
      }
      return is_stale;
    });
    entry = entry->second.empty() ? idle_.erase(entry) : std::next(entry);
  }
}

}  // namespace pathcleat
