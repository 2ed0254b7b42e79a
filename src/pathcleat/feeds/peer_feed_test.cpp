// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/feeds/peer_feed.hpp"

#include "event_loop.hpp"
#include "pathcleat/core/mac.hpp"
#include "pathcleat/feeds/config_history.hpp"
#include "pathcleat/http/endpoint.hpp"
#include "pathcleat/http/http_client.hpp"
#include "property.hpp"
#include "scripted_server.hpp"
#include "tcp_proxy.hpp"

namespace pathcleat {
namespace {

constexpr const char* kKey = "the hosts' key";
constexpr std::uint16_t kPort = 20'000;
constexpr Duration kWait{10'000'000};
constexpr Duration kTimeout{1'000'000};

// The data of a host, set by the test.
class FakeSnapshotProvider : public SnapshotProvider {
 public:
  explicit FakeSnapshotProvider(std::uint64_t version) {
    ApplyVersion(version);
  }

  // Applies a version; each version changes the second of two routes.
  void ApplyVersion(std::uint64_t version) {
    config_.version = version;
    config_.routes.resize(2);
    config_.routes.front().timeout = kTimeout;
    config_.routes.back().timeout = Duration(version);
    history_.Append(config_);
  }

  // Changes a route without a new version, as a memory fault would.
  void CorruptConfig() { config_.routes.front().timeout = Duration(0); }

  std::uint64_t NewestVersion(SourceTopic) const override {
    return config_.version;
  }
  const RoutingConfig* Config() const override { return &config_; }

  FleetSnapshot MakeSnapshot(const FeedRequest& request) override {
    last_request = request;
    ++snapshots;
    FleetSnapshot snapshot;
    snapshot.version = config_.version;
    snapshot.newest_change_version = config_.version;
    if (config_.version > request.config_version) {
      snapshot.config_update =
          history_.EncodedUpdateSince(config_, request.config_version);
    }
    return snapshot;
  }

  FeedRequest last_request;
  int snapshots = 0;

 private:
  RoutingConfig config_;
  ConfigHistory history_;
};

struct PeerFeedFixture {
  explicit PeerFeedFixture(std::uint64_t version)
      : server_data(version), client_data(version) {
    SilenceLog();
    server.SetKey(kKey);
    client.SetKey(kKey);
    const bool open = TryOr(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(server.Open(address, kPort));
          return true;
        },
        [](const Error&) { return false; });
    cr_assert(open);
  }

  std::string ServerAddress() const {
    return address + ":" + std::to_string(kPort);
  }

  void StartFetch(std::uint64_t after, Duration wait) {
    StartFetchFrom(ServerAddress(), after, wait);
  }

  void StartFetchFrom(const std::string& server_address,
                      std::uint64_t after,
                      Duration wait) {
    answered = false;
    client.Fetch({"server", server_address},
                 {SourceTopic::kOrders, after, wait},
                 [this](const std::optional<FeedResponse>& response) {
                   answered = true;
                   answer = response;
                 });
  }

  void AwaitAnswer() {
    cr_assert(WaitUntil(loop, [this] { return answered; }));
  }

  boost::asio::io_context loop{1};
  std::string address = UniqueLoopbackAddress();
  EventLog events{"host", 100};
  PeerTraffic traffic;
  FakeSnapshotProvider server_data;
  FakeSnapshotProvider client_data;
  PeerFeed server{loop, events, traffic, server_data};
  PeerFeed client{loop, events, traffic, client_data};
  bool answered = false;
  std::optional<FeedResponse> answer;
};

// A watch waits for up to 20 s, and another host may send a newer version
// meanwhile. The answer is then a delta to the version at the start of the
// watch. When such an answer counted as a failure, the relay was avoided for
// 5 s and the full configuration was read from the store. Fails (no answer)
// with IsSuperseded always false.
Test(peer_feed, watch_superseded_by_another_answer_is_no_failure) {
  PeerFeedFixture fixture(5);
  fixture.StartFetch(5, kWait);
  fixture.client_data.ApplyVersion(7);
  fixture.server_data.ApplyVersion(7);
  fixture.server_data.ApplyVersion(9);
  fixture.AwaitAnswer();
  cr_assert(fixture.answer.has_value());
  cr_assert_eq(fixture.answer->snapshot.version, 0U, "no new data");
  fixture.StartFetch(7, kWait);
  fixture.AwaitAnswer();
  cr_assert_eq(fixture.server_data.last_request.config_version, 7U,
               "a delta is enough");
  cr_assert(fixture.answer.has_value());
  cr_assert_eq(fixture.answer->snapshot.config.version, 9U);
}

// A fetch from version 0 is a read of the whole topic: entries that it lacks
// would count as gone, so a superseded answer must not be used as an empty one.
Test(peer_feed, read_superseded_by_another_answer_is_a_failure) {
  PeerFeedFixture fixture(5);
  fixture.StartFetch(0, Duration(0));
  fixture.client_data.ApplyVersion(7);
  fixture.server_data.ApplyVersion(7);
  fixture.server_data.ApplyVersion(9);
  fixture.AwaitAnswer();
  cr_assert_not(fixture.answer.has_value());
  fixture.StartFetch(0, Duration(0));
  fixture.AwaitAnswer();
  cr_assert_eq(fixture.server_data.last_request.config_version, 7U,
               "a delta is enough");
}

// After a delta that does not apply, fetches request the full configuration
// until a configuration of that version is in force. Fails if CompleteConfig
// does not reset needs_full_config_ for a version that is already in force.
Test(peer_feed, full_configuration_is_requested_until_in_force) {
  PeerFeedFixture fixture(5);
  fixture.client_data.CorruptConfig();
  fixture.server_data.ApplyVersion(9);
  fixture.StartFetch(5, kWait);
  fixture.AwaitAnswer();
  cr_assert_not(fixture.answer.has_value());
  // The configuration arrives from the store meanwhile.
  fixture.client_data.ApplyVersion(9);
  fixture.StartFetch(8, kWait);
  fixture.AwaitAnswer();
  cr_assert_eq(fixture.server_data.last_request.config_version, 0U);
  cr_assert(fixture.answer.has_value());
  fixture.StartFetch(8, kWait);
  fixture.AwaitAnswer();
  cr_assert_eq(fixture.server_data.last_request.config_version, 9U);
}

// A watch on a connection whose packets are dropped must end by the
// acknowledgement timeout, and a new watch must work. Fails (after 3.4 s)
// without SetAckTimeout in PeerFeed::Fetch.
Test(peer_feed, watch_on_a_silent_connection_is_given_up) {
  PeerFeedFixture fixture(5);
  fixture.server_data.ApplyVersion(5);
  fixture.server.SetWatchingStore(true);
  TcpProxy proxy(fixture.loop, fixture.address,
                 *ParseTcpEndpoint(fixture.ServerAddress()));
  fixture.StartFetchFrom(proxy.address(), 5, kWait);
  cr_assert(
      WaitUntil(fixture.loop, [&] { return proxy.forwarding_count() == 1; }));
  const Time silenced_at = BootClock::now();
  proxy.SilenceConnections(SilenceMode::kDropPackets);
  fixture.AwaitAnswer();
  constexpr Duration kMaxDetectionTime{2'900'000};
  cr_assert_lt((BootClock::now() - silenced_at).count(),
               kMaxDetectionTime.count());
  cr_assert_not(fixture.answer.has_value());
  cr_assert_eq(fixture.traffic.silent_connections(), 1U);
  fixture.server_data.ApplyVersion(6);
  fixture.StartFetchFrom(proxy.address(), 5, kWait);
  fixture.AwaitAnswer();
  cr_assert(fixture.answer.has_value());
}

// An answer that arrives slowly over a narrow link: with a total timeout of 1 s
// it was cancelled and fetched again and again, and never used. Fails with
// first_byte in place of the sum in TimeoutsOf.
Test(peer_feed, answer_that_keeps_arriving_is_used) {
  PeerFeedFixture fixture(5);
  fixture.server_data.ApplyVersion(6);
  ScriptedServer slow_server(fixture.loop, fixture.address);
  const std::string slow_address =
      slow_server.endpoint().address().to_string() + ":" +
      std::to_string(slow_server.endpoint().port());
  fixture.StartFetchFrom(slow_address, 5, Duration(0));
  cr_assert(WaitUntil(fixture.loop,
                      [&] { return slow_server.HasReceived("GET /"); }));
  FeedRequest request;
  request.config_version = 5;
  const std::string body = AppendMac(
      EncodeSnapshot(fixture.server_data.MakeSnapshot(request)), kKey);
  slow_server.Send("HTTP/1.1 200 OK\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n");
  const Time started_at = BootClock::now();
  slow_server.SendByteByByte(
      body, std::chrono::milliseconds(1'300 / body.size() + 1));
  fixture.AwaitAnswer();
  constexpr Duration kFormerTotalTimeout{1'000'000};
  cr_assert_gt((BootClock::now() - started_at).count(),
               kFormerTotalTimeout.count());
  cr_assert(fixture.answer.has_value());
  cr_assert_eq(fixture.answer->snapshot.config.version, 6U);
}

// A hundred hosts that start together send the same request to one host;
// encoding 10,000 entries for each of them would take a third of a second of a
// core. Fails with kAnswerTtl at 0.
Test(peer_feed, answer_to_equal_requests_is_encoded_once) {
  constexpr int kRequests = 20;
  PeerFeedFixture fixture(1);
  for (int i = 0; i < kRequests; ++i) {
    fixture.StartFetch(0, Duration(0));
    cr_assert(WaitUntil(fixture.loop, [&] { return fixture.answered; }));
    cr_assert(fixture.answer.has_value());
  }
  // Answers are cached for 0.2 s; on a slow machine a few more are encoded.
  cr_assert_lt(fixture.server_data.snapshots, kRequests / 2);
  fixture.server_data.ApplyVersion(2);
  fixture.StartFetch(0, Duration(0));
  cr_assert(WaitUntil(fixture.loop, [&] { return fixture.answered; }));
  cr_assert_eq(fixture.answer->snapshot.version, 2U);
}

// Guards against a wait time beyond what a duration can hold, which is
// undefined and may be negative, so that a watch is answered at once, over and
// over.
Test(peer_feed, wait_time_is_bounded) {
  constexpr Duration kMaxWait{30'000'000};
  PeerFeedFixture fixture(1);
  for (const std::string wait :
       {"30001", "9300000000000000", "18446744073709551615"}) {
    fixture.server_data.last_request = {};
    const auto client = std::make_shared<HttpClient>(
        fixture.loop, ParseTcpEndpoint(fixture.ServerAddress()).value(),
        HttpLimits());
    bool answered = false;
    client->Send({"GET",
                  "/v1/fleet/orders?after=0&wait_ms=" + wait,
                  {{"Host", fixture.address}},
                  ""},
                 {kTimeout, kTimeout, kTimeout, kTimeout},
                 [&](const CallResult&) { answered = true; });
    cr_assert(WaitUntil(fixture.loop, [&] { return answered; }));
    cr_assert(fixture.server_data.last_request.wait == kMaxWait, "%s",
              wait.c_str());
    fixture.server_data.ApplyVersion(fixture.server_data.Config()->version + 1);
    client->Cancel();
  }
}

}  // namespace
}  // namespace pathcleat
