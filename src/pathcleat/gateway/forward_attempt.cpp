// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/forward_attempt.hpp"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <utility>

#include "pathcleat/calls/upstream_protocol.hpp"

namespace pathcleat {
namespace {

using boost::beast::iequals;

constexpr Duration kConnectTimeout{300'000};

// The connections to other hosts are pooled like those to upstreams.
UpstreamInfo PoolEntryOf(const HostInfo& host) {
  UpstreamInfo entry;
  entry.id = host.name;
  entry.address = host.peer_address;
  return entry;
}

}  // namespace

void ForwardAttempt::Start(const HostInfo& target,
                           const HttpRequest& request,
                           const std::string& request_id,
                           const ForwardContext& context,
                           Duration timeout,
                           Callback callback) {
  target_ = target;
  sent_at_ = BootClock::now();
  HttpRequest forwarded = request;
  forwarded.headers = EndToEndHeaders(forwarded.headers);
  std::erase_if(forwarded.headers, [](const HttpHeader& header) {
    return iequals(header.name, kForwardHeader) ||
           iequals(header.name, "Expect");
  });
  if (!FindHeader(forwarded.headers, state_.headers.request_id)) {
    forwarded.headers.push_back({state_.headers.request_id, request_id});
  }
  forwarded.headers.push_back(
      {kForwardHeader, MakeForwardToken(context, request, state_.fleet_key)});
  constexpr bool kMayBeLost = false;
  const HttpClientPtr client = state_.forwards.connections.Acquire(
      PoolEntryOf(target_), kMayBeLost, sent_at_);
  ++state_.forwards.in_flight[target_.name];
  client_ = client;
  try {
    client_->Send(
        forwarded, {std::min(kConnectTimeout, timeout), timeout},
        [this, callback = std::move(callback)](const CallResult& result) {
          OnResult(result, callback);
        },
        MakeResponseMatcher(state_.headers, request_id));
  } catch (...) {
    Cancel();
    throw;
  }
}

void ForwardAttempt::OnResult(const CallResult& result,
                              const Callback& callback) {
  const HttpClientPtr client = Take();
  if (result.outcome == CallOutcome::kAnswered) {
    state_.failures.Run(EntryPoint::kUpstreamAnswer, target_.name, [&] {
      state_.forwards.connections.Release(target_.name, client);
    });
  }
  callback(result);
}

HttpClientPtr ForwardAttempt::Take() {
  --state_.forwards.in_flight[target_.name];
  return std::exchange(client_, nullptr);
}

void ForwardAttempt::Cancel() {
  Take()->Cancel();
}

}  // namespace pathcleat
