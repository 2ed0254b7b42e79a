// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/feeds/peer_feed.hpp"

#include <algorithm>
#include <charconv>
#include <memory>
#include <utility>

#include "pathcleat/core/mac.hpp"
#include "pathcleat/http/endpoint.hpp"
#include "pathcleat/http/http_client.hpp"
#include "pathcleat/http/http_status.hpp"
#include "pathcleat/http/query_text.hpp"

namespace pathcleat {
namespace {

constexpr const char* kOrdersPath = "/v1/fleet/orders";
constexpr const char* kUpstreamsPath = "/v1/fleet/upstreams";
constexpr const char* kAfter = "after";
constexpr const char* kWaitMs = "wait_ms";
constexpr const char* kConfig = "config";
constexpr Duration kConnectTimeout{300'000};
// The first byte of an answer must arrive within the request's wait time plus
// this timeout, as hosts answer at once or at the end of the wait time.
constexpr Duration kAnswerTimeout{1'000'000};
// A transfer whose answer has begun is abandoned if no further byte arrives for
// this time. The time covers two TCP retransmissions. A full configuration
// takes 0.15 s at 10 Mbit/s, so an answer that still arrives has shorter gaps.
constexpr Duration kProgressTimeout{1'500'000};
// Time without an acknowledgement after which a connection counts as dead. With
// the probes' interval, a dead watch is found after 2 s, as for watches of the
// store. So even if no heartbeat reports a newer version, a follower gets each
// configuration within a bound of 2.5 s or 3 s on this delay, but not within a
// bound of 2 s.
constexpr Duration kPeerAckTimeout{1'000'000};
// Time for the largest snapshot at 10 Mbit/s.
constexpr Duration kTransferTimeout{14'000'000};
constexpr Duration kMaxWait{30'000'000};
constexpr std::size_t kMaxWaitingRequests = 1'024;
constexpr std::uint64_t kMaxSnapshotBytes = 16ULL * 1024 * 1024;
constexpr std::chrono::milliseconds kSweepInterval{500};
// Answers are cached because encoding 10,000 entries takes 3 ms. Times in an
// answer (how long an upstream is still cold, whether entries may have lapsed)
// are out of date by at most this time.
constexpr Duration kAnswerTtl{200'000};
// At any time the followers of a host have about this many different versions.
constexpr std::size_t kMaxCachedAnswers = 4;

const char* PathOf(SourceTopic topic) {
  return topic == SourceTopic::kOrders ? kOrdersPath : kUpstreamsPath;
}

std::uint64_t QueryNumber(const std::string& target, const char* name) {
  const std::string text = QueryValue(target, name).value_or("");
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::optional<FeedRequest> ParseRequest(const std::string& target) {
  const std::string path = target.substr(0, target.find('?'));
  FeedRequest request;
  if (path == kUpstreamsPath) {
    request.topic = SourceTopic::kUpstreams;
  } else if (path != kOrdersPath) {
    return std::nullopt;
  }
  request.after = QueryNumber(target, kAfter);
  request.config_version = QueryNumber(target, kConfig);
  const std::uint64_t max_wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(kMaxWait).count();
  request.wait = std::chrono::milliseconds(
      std::min(max_wait_ms, QueryNumber(target, kWaitMs)));
  return request;
}

std::string TargetOf(const FeedRequest& request) {
  const auto wait =
      std::chrono::duration_cast<std::chrono::milliseconds>(request.wait);
  return std::string(PathOf(request.topic)) + "?" + kAfter + "=" +
         std::to_string(request.after) + "&" + kWaitMs + "=" +
         std::to_string(wait.count()) + "&" + kConfig + "=" +
         std::to_string(request.config_version);
}

PeerMessageKind KindOf(SourceTopic topic) {
  return topic == SourceTopic::kOrders ? PeerMessageKind::kOrders
                                       : PeerMessageKind::kUpstreams;
}

CallTimeouts TimeoutsOf(const FeedRequest& request) {
  const Duration first_byte = request.wait + kAnswerTimeout;
  return {kConnectTimeout, first_byte + kTransferTimeout, first_byte,
          kProgressTimeout};
}

// The reason why an answer could not be used, for the log.
std::string CauseOf(const CallResult& result) {
  if (result.outcome != CallOutcome::kAnswered) {
    return result.detail;
  }
  return result.response.status == http_status::kUnavailable
             ? "the other host turned it away"
             : "not an answer of this fleet";
}

// A snapshot with version 0, older than any data that a host has. So the
// snapshot changes nothing at its receiver.
FleetSnapshot EmptySnapshot(SourceTopic topic) {
  FleetSnapshot snapshot;
  snapshot.topic = topic;
  return snapshot;
}

void RejectRequest(const HttpExchangePtr& exchange) {
  exchange->Respond(
      TextResponse(http_status::kUnavailable, "no news at first hand\n"));
}

}  // namespace

PeerFeed::PeerFeed(boost::asio::io_context& loop,
                   EventLog& events,
                   PeerTraffic& traffic,
                   SnapshotProvider& provider)
    : loop_(loop),
      events_(events),
      traffic_(traffic),
      provider_(provider),
      server_(loop, [this](const HttpExchangePtr& e) { Handle(e); }),
      sweep_timer_(loop) {}

Result<void> PeerFeed::Open(const std::string& address, std::uint16_t port) {
  BOOST_LEAF_CHECK(server_.Listen(address, port));
  Start();
  return {};
}

void PeerFeed::Handle(const HttpExchangePtr& exchange) {
  if (handler_ && FindHeader(exchange->request().headers, handled_header_)) {
    handler_(exchange);
    return;
  }
  const auto request = ParseRequest(exchange->request().target);
  if (!request || key_.empty()) {
    exchange->Respond(TextResponse(http_status::kNotFound, "nothing here\n"));
    return;
  }
  if (request->wait <= Duration::zero() || HasUpdates(*request)) {
    Answer(exchange, *request);
    return;
  }
  if (!watching_store_ || waiting_.size() >= kMaxWaitingRequests) {
    RejectRequest(exchange);
    return;
  }
  waiting_.push_back({exchange, *request, BootClock::now() + request->wait});
}

bool PeerFeed::HasUpdates(const FeedRequest& request) const {
  return provider_.NewestVersion(request.topic) > request.after;
}

const MessageBody& PeerFeed::AnswerBody(const FeedRequest& request) {
  const Time now = BootClock::now();
  const std::uint64_t newest = provider_.NewestVersion(request.topic);
  std::erase_if(cached_answers_, [now](const CachedAnswer& cached) {
    return now - cached.encoded_at > kAnswerTtl;
  });
  const auto same = [&](const CachedAnswer& cached) {
    return cached.request.topic == request.topic &&
           cached.request.after == request.after &&
           cached.request.config_version == request.config_version &&
           cached.newest == newest;
  };
  const auto found =
      std::find_if(cached_answers_.begin(), cached_answers_.end(), same);
  if (found != cached_answers_.end()) {
    return found->body;
  }
  if (cached_answers_.size() >= kMaxCachedAnswers) {
    cached_answers_.erase(cached_answers_.begin());
  }
  cached_answers_.push_back(
      {request, newest,
       AppendMac(EncodeSnapshot(provider_.MakeSnapshot(request)), key_), now});
  return cached_answers_.back().body;
}

void PeerFeed::Answer(const HttpExchangePtr& exchange,
                      const FeedRequest& request) {
  const MessageBody& body = AnswerBody(request);
  traffic_.OnSent(KindOf(request.topic), body.size());
  exchange->Respond({http_status::kOk, {}, body});
}

void PeerFeed::Publish(SourceTopic topic) {
  std::erase_if(waiting_, [this, topic](const WaitingRequest& waiting) {
    const bool is_answered =
        waiting.request.topic == topic && HasUpdates(waiting.request);
    if (is_answered) {
      Answer(waiting.exchange, waiting.request);
    }
    return is_answered;
  });
}

void PeerFeed::SetWatchingStore(bool watching_store) {
  watching_store_ = watching_store;
  if (watching_store) {
    return;
  }
  for (const WaitingRequest& waiting : std::exchange(waiting_, {})) {
    RejectRequest(waiting.exchange);
  }
}

void PeerFeed::Sweep() {
  // First, so that an exception of the work does not end the sweeps for good.
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      Sweep();
    }
  });
  const Time now = BootClock::now();
  std::erase_if(waiting_, [this, now](const WaitingRequest& waiting) {
    if (waiting.exchange->IsOpen() && now >= waiting.deadline) {
      Answer(waiting.exchange, waiting.request);
    }
    return !waiting.exchange->IsOpen();
  });
}

PeerFetchPtr PeerFeed::Fetch(const FeedPeer& peer,
                             FeedRequest request,
                             Handler handler) {
  const auto endpoint = ParseTcpEndpoint(peer.address);
  if (!endpoint || key_.empty()) {
    handler(std::nullopt);
    return nullptr;
  }
  const RoutingConfig* config = provider_.Config();
  const bool may_use_delta = config != nullptr && !needs_full_config_;
  request.config_version = may_use_delta ? config->version : 0;
  HttpLimits limits;
  limits.max_body_bytes = kMaxSnapshotBytes;
  const auto client = std::make_shared<HttpClient>(loop_, *endpoint, limits);
  PeerFetchPtr fetch =
      std::make_shared<const PeerFetch>(PeerFetch{peer, request, client});
  client->SetAckTimeout(kPeerAckTimeout);
  traffic_.OnFetchStarted();
  client->Send(
      {"GET", TargetOf(request), {{"Host", peer.address}}, ""},
      TimeoutsOf(request),
      [this, fetch, handler = std::move(handler)](const CallResult& result) {
        fetch->client->Cancel();
        handler(HandleAnswer(*fetch, result));
      });
  return fetch;
}

void PeerFeed::Cancel(const PeerFetch& fetch, const std::string& reason) {
  const std::uint64_t bytes = fetch.client->received_bytes();
  fetch.client->Cancel();
  traffic_.OnReceived(KindOf(fetch.request.topic), bytes);
  traffic_.OnFetchEnded(true);
  RecordFailure(fetch, bytes, reason);
}

std::optional<FeedResponse> PeerFeed::HandleAnswer(const PeerFetch& fetch,
                                                   const CallResult& result) {
  const Time arrived = BootClock::now();
  traffic_.OnReceived(KindOf(fetch.request.topic), result.received_bytes);
  auto snapshot = result.outcome == CallOutcome::kAnswered
                      ? DecodeAnswer(fetch.request, result.response.body)
                      : std::nullopt;
  traffic_.OnFetchEnded(!snapshot);
  if (result.connection_silent) {
    traffic_.OnSilentConnection();
  }
  if (!snapshot) {
    RecordFailure(fetch, result.received_bytes, CauseOf(result));
    return std::nullopt;
  }
  return FeedResponse{std::move(*snapshot),
                      {fetch.peer.name, result.response.body.size(),
                       result.transfer_time, BootClock::now() - arrived}};
}

void PeerFeed::RecordFailure(const PeerFetch& fetch,
                             std::uint64_t bytes,
                             const std::string& reason) {
  events_.Record(
      EventCode::kTransferFailed, fetch.peer.name, PathOf(fetch.request.topic),
      {IntegerField(field::kBytes, bytes), {field::kReason, reason}});
}

std::optional<FleetSnapshot> PeerFeed::DecodeAnswer(const FeedRequest& request,
                                                    std::string_view body) {
  const auto message = VerifyMac(body, key_);
  if (!message) {
    return std::nullopt;
  }
  auto snapshot = DecodeSnapshot(*message);
  if (!snapshot || snapshot->topic != request.topic) {
    return std::nullopt;
  }
  const UpdateResult update_result = CompleteConfig(*snapshot);
  if (update_result == UpdateResult::kSuperseded && request.after > 0) {
    return EmptySnapshot(request.topic);
  }
  return update_result == UpdateResult::kComplete ? snapshot : std::nullopt;
}

// Replaces the encoded update in a snapshot by the resulting configuration. The
// update may be a delta to a version that is no longer in force here.
PeerFeed::UpdateResult PeerFeed::CompleteConfig(FleetSnapshot& snapshot) {
  if (snapshot.config_update.empty()) {
    return UpdateResult::kComplete;
  }
  auto update = DecodeConfigUpdate(snapshot.config_update);
  snapshot.config_update.clear();
  if (!update) {
    return UpdateResult::kUnusable;
  }
  const RoutingConfig* current = provider_.Config();
  if (current != nullptr && update->config.version <= current->version) {
    needs_full_config_ = false;
    return UpdateResult::kComplete;
  }
  if (IsSuperseded(*update)) {
    return UpdateResult::kSuperseded;
  }
  auto config = ApplyConfigUpdate(std::move(*update), current);
  needs_full_config_ = !config.has_value();
  if (!config) {
    return UpdateResult::kUnusable;
  }
  snapshot.config = std::move(*config);
  return UpdateResult::kComplete;
}

// Whether a newer configuration than the base of the update is in force. A
// watch may wait for 20 s, and another answer may come into force meanwhile.
// The next request names the version in force by then, and gets a delta to that
// version.
bool PeerFeed::IsSuperseded(const ConfigUpdate& update) const {
  const RoutingConfig* current = provider_.Config();
  return update.base_version > 0 && current != nullptr &&
         current->version > update.base_version;
}

}  // namespace pathcleat
