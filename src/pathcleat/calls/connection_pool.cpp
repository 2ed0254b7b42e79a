// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/connection_pool.hpp"

#include <algorithm>

#include "pathcleat/http/endpoint.hpp"

namespace pathcleat {
namespace {

// Idle time after which a connection is not used, where the upstream says
// nothing of its own.
constexpr Duration kLongestIdle{4'000'000};
// An upstream's stated time, less this, is relied on.
constexpr Duration kKeepAliveMargin{1'500'000};
// Connections from before a silence are all gone after this time: TCP finds
// the idle ones and those under way (kAckTimeout, and a second for the first
// probe).
constexpr Duration kLongestSilence = kAckTimeout * 2;
constexpr std::uint64_t kLargestAnswer = 64ULL * 1024 * 1024;

HttpLimits AnswerLimits() {
  HttpLimits limits;
  limits.max_body_bytes = kLargestAnswer;
  return limits;
}

}  // namespace

bool ConnectionPool::IsFresh(const HttpClient& client, Time now) {
  const Duration stated = client.keep_alive_timeout();
  const Duration longest =
      stated > Duration::zero()
          ? std::max(stated - kKeepAliveMargin, kKeepAliveMargin / 2)
          : kLongestIdle;
  return client.IsReusable() && now - client.idle_since() < longest;
}

HttpClientPtr ConnectionPool::Acquire(const UpstreamInfo& upstream,
                                      bool repeatable,
                                      Time now) {
  HttpClientPtr kept = TakeKept(upstream, now);
  if (!kept) {
    return Create(upstream);
  }
  const Duration rested = now - kept->idle_since();
  if (!repeatable && rested > rests_[upstream.service].MaxIdle(now)) {
    // The last one used is the first one taken: others rested for longer.
    Release(upstream.id, kept);
    return Create(upstream);
  }
  return kept;
}

void ConnectionPool::OnStaleConnection(const UpstreamInfo& upstream,
                                       Duration rested,
                                       Time now) {
  rests_[upstream.service].OnStaleConnection(rested, now);
}

// Null: none is kept that may be used.
HttpClientPtr ConnectionPool::TakeKept(const UpstreamInfo& upstream, Time now) {
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
  return std::make_shared<HttpClient>(
      loop_, endpoint.value_or(boost::asio::ip::tcp::endpoint()),
      AnswerLimits());
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
  silent_ += client->IsSilent() ? 1 : 0;
  client->Cancel();
}

bool ConnectionPool::OnSilentConnection(const std::string& upstream_id,
                                        const HttpClient& client,
                                        Time now) {
  ++silent_;
  const auto last = silences_.find(upstream_id);
  if (last != silences_.end() && client.opened_at() <= last->second) {
    return false;
  }
  silences_[upstream_id] = now;
  if (!IsOtherSilent(upstream_id, now)) {
    CloseUnheard(idle_[upstream_id], now);
    return true;
  }
  for (auto& [upstream, kept] : idle_) {
    CloseUnheard(kept, now);
  }
  return true;
}

bool ConnectionPool::IsOtherSilent(const std::string& upstream_id,
                                   Time now) const {
  return std::any_of(silences_.begin(), silences_.end(),
                     [&upstream_id, now](const auto& silence) {
                       return silence.first != upstream_id &&
                              now - silence.second < kAckTimeout;
                     });
}

// What was silent has been so for this time at least: what has been heard
// since is trusted.
void ConnectionPool::CloseUnheard(Kept& kept, Time now) {
  std::erase_if(kept, [now](const HttpClientPtr& client) {
    const bool unheard = now - client->last_byte_at() >= kMinSilence;
    if (unheard) {
      client->Cancel();
    }
    return unheard;
  });
}

void ConnectionPool::CloseIdle(Time now) {
  std::erase_if(silences_, [now](const auto& silence) {
    return now - silence.second >= kLongestSilence;
  });
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    std::erase_if(entry->second, [this, now](const HttpClientPtr& client) {
      const bool stale = !IsFresh(*client, now);
      if (stale) {
        Discard(client);
      }
      return stale;
    });
    entry = entry->second.empty() ? idle_.erase(entry) : std::next(entry);
  }
}

}  // namespace pathcleat
