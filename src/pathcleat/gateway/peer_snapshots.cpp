// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/peer_snapshots.hpp"

#include <memory>
#include <utility>

#include "pathcleat/core/seal.hpp"
#include "pathcleat/http/endpoint.hpp"
#include "pathcleat/http/http_client.hpp"
#include "pathcleat/http/http_status.hpp"

namespace pathcleat {
namespace {

constexpr const char* kOrdersPath = "/v1/fleet/orders";
constexpr const char* kUpstreamsPath = "/v1/fleet/upstreams";
constexpr Duration kConnectTimeout{300'000};
constexpr Duration kFetchTimeout{1'000'000};
constexpr std::uint64_t kLargestSnapshot = 16ULL * 1024 * 1024;

}  // namespace

PeerSnapshots::PeerSnapshots(boost::asio::io_context& loop,
                             Reader reader,
                             Handler handler)
    : loop_(loop),
      reader_(std::move(reader)),
      handler_(std::move(handler)),
      server_(loop, [this](const ExchangePtr& e) { Handle(e); }) {}

Result<void> PeerSnapshots::Open(const std::string& address,
                                 std::uint16_t port) {
  BOOST_LEAF_CHECK(server_.Listen(address, port));
  return {};
}

void PeerSnapshots::Handle(const ExchangePtr& exchange) {
  const std::string& target = exchange->request().target;
  const bool known = target == kOrdersPath || target == kUpstreamsPath;
  if (!known || key_.empty()) {
    exchange->Respond(TextResponse(http_status::kNotFound, "nothing here\n"));
    return;
  }
  const SourceTopic topic =
      target == kOrdersPath ? SourceTopic::kOrders : SourceTopic::kUpstreams;
  exchange->Respond(
      {http_status::kOk, {}, Seal(EncodeSnapshot(reader_(topic)), key_)});
}

void PeerSnapshots::Fetch(SourceTopic topic, const std::string& peer_address) {
  const auto endpoint = ParseTcpEndpoint(peer_address);
  if (!endpoint || key_.empty() || fetching_[topic]) {
    return;
  }
  fetching_[topic] = true;
  HttpLimits limits;
  limits.body_bytes = kLargestSnapshot;
  const auto client = std::make_shared<HttpClient>(loop_, *endpoint, limits);
  const char* path =
      topic == SourceTopic::kOrders ? kOrdersPath : kUpstreamsPath;
  client->Send({"GET", path, {{"Host", peer_address}}, ""},
               {kConnectTimeout, kFetchTimeout},
               [this, topic, client](const CallResult& result) {
                 fetching_[topic] = false;
                 client->Cancel();
                 if (result.outcome == CallOutcome::kAnswered) {
                   OnResult(topic, result.response.body);
                 }
               });
}

void PeerSnapshots::OnResult(SourceTopic topic, const std::string& body) {
  const auto message = Unseal(body, key_);
  if (!message) {
    return;
  }
  const auto snapshot = DecodeSnapshot(*message);
  if (snapshot && snapshot->topic == topic) {
    handler_(*snapshot);
  }
}

}  // namespace pathcleat
