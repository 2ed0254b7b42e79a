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
// Hosts answer at once or when their time to wait is over.
constexpr Duration kAnswerTimeout{1'000'000};
// Two TCP retransmissions; a whole configuration takes 0.15 s at 10 Mbit/s,
// so what comes at all comes in less than this between two pieces.
constexpr Duration kProgressTimeout{1'500'000};
// Without an acknowledgement. Probes turn it into 2 s for a watch, as at the
// store: a follower asks anew within bounds on configuration of 2.5 s and 3 s
// also where no heartbeat tells of a newer one; one of 2 s is then over.
constexpr Duration kPeerSilenceLimit{1'000'000};
// The largest snapshot at 10 Mbit/s.
constexpr Duration kTransferTime{14'000'000};
constexpr Duration kLongestWait{30'000'000};
constexpr std::size_t kMostWaiting = 1'024;
constexpr std::uint64_t kLargestSnapshot = 16ULL * 1024 * 1024;
constexpr std::chrono::milliseconds kSweepPeriod{500};
// What is told of time (an upstream is cold for so long, entries may have
// lapsed) is late by this much at most. Encoding 10,000 entries takes 3 ms.
constexpr Duration kAnswerKeptFor{200'000};
// Versions that followers know at one moment.
constexpr std::size_t kMostKept = 4;

const char* PathOf(SourceTopic topic) {
  return topic == SourceTopic::kOrders ? kOrdersPath : kUpstreamsPath;
}

std::uint64_t NumberIn(const std::string& target, const char* name) {
  const std::string text = QueryValue(target, name).value_or("");
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::optional<FeedRequest> RequestIn(const std::string& target) {
  const std::string path = target.substr(0, target.find('?'));
  FeedRequest request;
  if (path == kUpstreamsPath) {
    request.topic = SourceTopic::kUpstreams;
  } else if (path != kOrdersPath) {
    return std::nullopt;
  }
  request.after = NumberIn(target, kAfter);
  request.config_version = NumberIn(target, kConfig);
  request.wait =
      std::min(kLongestWait,
               Duration(std::chrono::milliseconds(NumberIn(target, kWaitMs))));
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
  return {kConnectTimeout, first_byte + kTransferTime, first_byte,
          kProgressTimeout};
}

// Why an answer could not be used.
std::string CauseOf(const CallResult& result) {
  if (result.outcome != CallOutcome::kAnswered) {
    return result.detail;
  }
  return result.response.status == http_status::kUnavailable
             ? "the other host turned it away"
             : "not an answer of this fleet";
}

// Older than anything that is known: it changes nothing.
FleetSnapshot NothingNew(SourceTopic topic) {
  FleetSnapshot snapshot;
  snapshot.topic = topic;
  return snapshot;
}

void TurnAway(const HttpExchangePtr& exchange) {
  exchange->Respond(
      TextResponse(http_status::kUnavailable, "no news at first hand\n"));
}

}  // namespace

PeerFeed::PeerFeed(boost::asio::io_context& loop,
                   EventLog& events,
                   PeerTraffic& traffic,
                   SnapshotProvider& tables)
    : loop_(loop),
      events_(events),
      traffic_(traffic),
      tables_(tables),
      server_(loop, [this](const HttpExchangePtr& e) { Handle(e); }),
      sweep_timer_(loop) {}

Result<void> PeerFeed::Open(const std::string& address, std::uint16_t port) {
  BOOST_LEAF_CHECK(server_.Listen(address, port));
  Sweep();
  return {};
}

void PeerFeed::Handle(const HttpExchangePtr& exchange) {
  const auto request = RequestIn(exchange->request().target);
  if (!request || key_.empty()) {
    exchange->Respond(TextResponse(http_status::kNotFound, "nothing here\n"));
    return;
  }
  if (request->wait <= Duration::zero() || HasNews(*request)) {
    Answer(exchange, *request);
    return;
  }
  if (!first_hand_ || waiting_.size() >= kMostWaiting) {
    TurnAway(exchange);
    return;
  }
  waiting_.push_back({exchange, *request, BootClock::now() + request->wait});
}

bool PeerFeed::HasNews(const FeedRequest& request) const {
  return tables_.NewestVersion(request.topic) > request.after;
}

const std::string& PeerFeed::BodyOf(const FeedRequest& request) {
  const Time now = BootClock::now();
  const std::uint64_t newest = tables_.NewestVersion(request.topic);
  std::erase_if(kept_, [now](const KeptAnswer& kept) {
    return now - kept.made > kAnswerKeptFor;
  });
  const auto same = [&](const KeptAnswer& kept) {
    return kept.request.topic == request.topic &&
           kept.request.after == request.after &&
           kept.request.config_version == request.config_version &&
           kept.newest == newest;
  };
  const auto found = std::find_if(kept_.begin(), kept_.end(), same);
  if (found != kept_.end()) {
    return found->body;
  }
  if (kept_.size() >= kMostKept) {
    kept_.erase(kept_.begin());
  }
  kept_.push_back(
      {request, newest,
       AppendMac(EncodeSnapshot(tables_.MakeSnapshot(request)), key_), now});
  return kept_.back().body;
}

void PeerFeed::Answer(const HttpExchangePtr& exchange,
                      const FeedRequest& request) {
  const std::string& body = BodyOf(request);
  traffic_.OnSent(KindOf(request.topic), body.size());
  exchange->Respond({http_status::kOk, {}, body});
}

void PeerFeed::Publish(SourceTopic topic) {
  std::erase_if(waiting_, [this, topic](const Waiting& waiting) {
    const bool answers =
        waiting.request.topic == topic && HasNews(waiting.request);
    if (answers) {
      Answer(waiting.exchange, waiting.request);
    }
    return answers;
  });
}

void PeerFeed::SetWatchingStore(bool first_hand) {
  first_hand_ = first_hand;
  if (first_hand) {
    return;
  }
  for (const Waiting& waiting : std::exchange(waiting_, {})) {
    TurnAway(waiting.exchange);
  }
}

void PeerFeed::Sweep() {
  const Time now = BootClock::now();
  std::erase_if(waiting_, [this, now](const Waiting& waiting) {
    if (waiting.exchange->IsOpen() && now >= waiting.until) {
      Answer(waiting.exchange, waiting.request);
    }
    return !waiting.exchange->IsOpen();
  });
  sweep_timer_.expires_after(kSweepPeriod);
  sweep_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      Sweep();
    }
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
  const RoutingConfig* config = tables_.Config();
  const bool known = config != nullptr && !wants_whole_;
  request.config_version = known ? config->version : 0;
  HttpLimits limits;
  limits.max_body_bytes = kLargestSnapshot;
  const auto client = std::make_shared<HttpClient>(loop_, *endpoint, limits);
  PeerFetchPtr question =
      std::make_shared<const PeerFetch>(PeerFetch{peer, request, client});
  client->SetAckTimeout(kPeerSilenceLimit);
  traffic_.OnFetchStarted();
  client->Send(
      {"GET", TargetOf(request), {{"Host", peer.address}}, ""},
      TimeoutsOf(request),
      [this, question, handler = std::move(handler)](const CallResult& result) {
        question->client->Cancel();
        handler(TakeAnswer(*question, result));
      });
  return question;
}

void PeerFeed::Cancel(const PeerFetch& question, const std::string& reason) {
  const std::uint64_t bytes = question.client->received_bytes();
  question.client->Cancel();
  traffic_.OnReceived(KindOf(question.request.topic), bytes);
  traffic_.OnFetchEnded(true);
  RecordFailure(question, bytes, reason);
}

std::optional<FeedResponse> PeerFeed::TakeAnswer(const PeerFetch& question,
                                                 const CallResult& result) {
  const Time arrived = BootClock::now();
  traffic_.OnReceived(KindOf(question.request.topic), result.received_bytes);
  auto snapshot = result.outcome == CallOutcome::kAnswered
                      ? Open(question.request, result.response.body)
                      : std::nullopt;
  traffic_.OnFetchEnded(!snapshot);
  if (result.connection_silent) {
    traffic_.OnSilentConnection();
  }
  if (!snapshot) {
    RecordFailure(question, result.received_bytes, CauseOf(result));
    return std::nullopt;
  }
  return FeedResponse{std::move(*snapshot),
                      {question.peer.name, result.response.body.size(),
                       result.transfer_time, BootClock::now() - arrived}};
}

void PeerFeed::RecordFailure(const PeerFetch& question,
                             std::uint64_t bytes,
                             const std::string& reason) {
  events_.Record(
      EventCode::kTransferFailed, question.peer.name,
      PathOf(question.request.topic),
      {IntegerField(field::kBytes, bytes), {field::kReason, reason}});
}

std::optional<FleetSnapshot> PeerFeed::Open(const FeedRequest& request,
                                            const std::string& body) {
  const auto message = VerifyMac(body, key_);
  if (!message) {
    return std::nullopt;
  }
  auto snapshot = DecodeSnapshot(*message);
  if (!snapshot || snapshot->topic != request.topic) {
    return std::nullopt;
  }
  const PartUse use = Complete(*snapshot);
  if (use == PartUse::kOvertaken && request.after > 0) {
    return NothingNew(request.topic);
  }
  return use == PartUse::kComplete ? snapshot : std::nullopt;
}

// A change may be of another version than the one in force by now.
PeerFeed::PartUse PeerFeed::Complete(FleetSnapshot& snapshot) {
  if (snapshot.config_update.empty()) {
    return PartUse::kComplete;
  }
  auto part = DecodeConfigUpdate(snapshot.config_update);
  snapshot.config_update.clear();
  if (!part) {
    return PartUse::kUnusable;
  }
  const RoutingConfig* known = tables_.Config();
  if (known != nullptr && part->config.version <= known->version) {
    wants_whole_ = false;
    return PartUse::kComplete;
  }
  if (IsOvertaken(*part)) {
    return PartUse::kOvertaken;
  }
  auto config = ApplyConfigUpdate(std::move(*part), known);
  wants_whole_ = !config.has_value();
  if (!config) {
    return PartUse::kUnusable;
  }
  snapshot.config = std::move(*config);
  return PartUse::kComplete;
}

// A watch may wait for 20 s, and another answer came into force meanwhile. Who
// asks again tells the version in force by then, and is told what changes it.
bool PeerFeed::IsOvertaken(const ConfigUpdate& part) const {
  const RoutingConfig* known = tables_.Config();
  return part.base_version > 0 && known != nullptr &&
         known->version > part.base_version;
}

}  // namespace pathcleat
