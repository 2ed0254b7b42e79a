// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/feeds/peer_feed.hpp"

#include "event_loop.hpp"
#include "pathcleat/core/mac.hpp"
#include "pathcleat/feeds/config_history.hpp"
#include "pathcleat/http/endpoint.hpp"
#include "property.hpp"
#include "scripted_server.hpp"
#include "tcp_proxy.hpp"

namespace pathcleat {
namespace {

constexpr const char* kKey = "the hosts' key";
constexpr std::uint16_t kPort = 20'000;
constexpr Duration kWait{10'000'000};
constexpr Duration kTimeout{1'000'000};

// What a host knows, as the test says.
class HandTables : public SnapshotProvider {
 public:
  explicit HandTables(std::uint64_t version) { Take(version); }

  // Each version changes the second of two routes.
  void Take(std::uint64_t version) {
    config_.version = version;
    config_.routes.resize(2);
    config_.routes.front().timeout = kTimeout;
    config_.routes.back().timeout = Duration(version);
    history_.Append(config_);
  }

  // As after a fault of memory: not what the version says.
  void Spoil() { config_.routes.front().timeout = Duration(0); }

  std::uint64_t NewestVersion(SourceTopic) const override {
    return config_.version;
  }
  const RoutingConfig* Config() const override { return &config_; }

  FleetSnapshot MakeSnapshot(const FeedRequest& request) override {
    asked = request;
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

  FeedRequest asked;  ///< last of all
  int snapshots = 0;

 private:
  RoutingConfig config_;
  ConfigHistory history_;
};

struct FeedWorld {
  explicit FeedWorld(std::uint64_t version) : told(version), known(version) {
    SilenceLog();
    teller.SetKey(kKey);
    follower.SetKey(kKey);
    const bool open = TryOr(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(teller.Open(address, kPort));
          return true;
        },
        [](const Error&) { return false; });
    cr_assert(open);
  }

  std::string TellerAddress() const {
    return address + ":" + std::to_string(kPort);
  }

  void Ask(std::uint64_t after, Duration wait) {
    AskAt(TellerAddress(), after, wait);
  }

  void AskAt(const std::string& teller_address,
             std::uint64_t after,
             Duration wait) {
    answered = false;
    follower.Fetch({"teller", teller_address},
                   {SourceTopic::kOrders, after, wait},
                   [this](const std::optional<FeedResponse>& given) {
                     answered = true;
                     answer = given;
                   });
  }

  void AwaitAnswer() {
    cr_assert(WaitUntil(loop, [this] { return answered; }));
  }

  boost::asio::io_context loop{1};
  std::string address = UniqueLoopbackAddress();
  EventLog events{"host", 100};
  PeerTraffic traffic;
  HandTables told;
  HandTables known;
  PeerFeed teller{loop, events, traffic, told};
  PeerFeed follower{loop, events, traffic, known};
  bool answered = false;
  std::optional<FeedResponse> answer;
};

// A watch waits for up to 20 s; meanwhile another host may tell more. The
// change that it then brings is of the version known when it was asked: its
// relay was left alone for 5 s, and the whole was asked for, of the store.
// Checked to fail (no answer) with IsOvertaken giving false.
Test(peer_feed, watch_that_another_answer_has_overtaken_is_no_failure) {
  FeedWorld world(5);
  world.Ask(5, kWait);
  world.known.Take(7);
  world.told.Take(7);
  world.told.Take(9);
  world.AwaitAnswer();
  cr_assert(world.answer.has_value());
  cr_assert_eq(world.answer->snapshot.version, 0U, "nothing was learnt");
  world.Ask(7, kWait);
  world.AwaitAnswer();
  cr_assert_eq(world.told.asked.config_version, 7U, "a change is enough");
  cr_assert(world.answer.has_value());
  cr_assert_eq(world.answer->snapshot.config.version, 9U);
}

// An answer asked for at once is a whole reading: what it lacks would count
// as gone, so one that was overtaken is none.
Test(peer_feed, reading_that_another_answer_has_overtaken_is_no_answer) {
  FeedWorld world(5);
  world.Ask(0, Duration(0));
  world.known.Take(7);
  world.told.Take(7);
  world.told.Take(9);
  world.AwaitAnswer();
  cr_assert_not(world.answer.has_value());
  world.Ask(0, Duration(0));
  world.AwaitAnswer();
  cr_assert_eq(world.told.asked.config_version, 7U, "a change is enough");
}

// A change that does not fit asks for the whole once, and not with each
// question from then on. Checked to fail with wants_whole_ left as it is
// where the version told is in force by then.
Test(peer_feed, whole_is_asked_for_until_it_is_told) {
  FeedWorld world(5);
  world.known.Spoil();
  world.told.Take(9);
  world.Ask(5, kWait);
  world.AwaitAnswer();
  cr_assert_not(world.answer.has_value());
  // The store tells it meanwhile.
  world.known.Take(9);
  world.Ask(8, kWait);
  world.AwaitAnswer();
  cr_assert_eq(world.told.asked.config_version, 0U);
  cr_assert(world.answer.has_value());
  world.Ask(8, kWait);
  world.AwaitAnswer();
  cr_assert_eq(world.told.asked.config_version, 9U);
}

// A watch over a connection that fell silent ends by itself, and a new one
// works. Checked to fail (after 3.4 s) with SetAckTimeout out of
// Ask.
Test(peer_feed, watch_that_fell_silent_is_given_up) {
  FeedWorld world(5);
  world.told.Take(5);
  world.teller.SetWatchingStore(true);
  TcpProxy way(world.loop, world.address,
               *ParseTcpEndpoint(world.TellerAddress()));
  world.AskAt(way.address(), 5, kWait);
  cr_assert(WaitUntil(world.loop, [&] { return way.forwarding_count() == 1; }));
  const Time silenced = BootClock::now();
  way.SilenceConnections(SilenceMode::kDropPackets);
  world.AwaitAnswer();
  constexpr Duration kFound{2'900'000};
  cr_assert_lt((BootClock::now() - silenced).count(), kFound.count());
  cr_assert_not(world.answer.has_value());
  cr_assert_eq(world.traffic.silent_connections(), 1U);
  world.told.Take(6);
  world.AskAt(way.address(), 5, kWait);
  world.AwaitAnswer();
  cr_assert(world.answer.has_value());
}

// An answer that comes slowly over a thin link is worth waiting for: given up
// after 1 s in total, it was asked for anew and never taken. Checked to fail
// with first_byte in place of the sum in TimeoutsOf.
Test(peer_feed, answer_that_keeps_arriving_is_taken) {
  FeedWorld world(5);
  world.told.Take(6);
  ScriptedServer thin(world.loop, world.address);
  const std::string to = thin.endpoint().address().to_string() + ":" +
                         std::to_string(thin.endpoint().port());
  world.AskAt(to, 5, Duration(0));
  cr_assert(WaitUntil(world.loop, [&] { return thin.HasReceived("GET /"); }));
  FeedRequest request;
  request.config_version = 5;
  const std::string body =
      AppendMac(EncodeSnapshot(world.told.MakeSnapshot(request)), kKey);
  thin.Send("HTTP/1.1 200 OK\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n");
  const Time began = BootClock::now();
  thin.SendByteByByte(body, std::chrono::milliseconds(1'300 / body.size() + 1));
  world.AwaitAnswer();
  constexpr Duration kOnceTheTotal{1'000'000};
  cr_assert_gt((BootClock::now() - began).count(), kOnceTheTotal.count());
  cr_assert(world.answer.has_value());
  cr_assert_eq(world.answer->snapshot.config.version, 6U);
}

// A hundred hosts that start together ask one for the same; encoding 10,000
// entries for each of them takes a third of a second of a core.
// Checked to fail with kAnswerKeptFor at 0.
Test(peer_feed, same_question_is_encoded_once) {
  constexpr int kAskers = 20;
  FeedWorld world(1);
  for (int i = 0; i < kAskers; ++i) {
    world.Ask(0, Duration(0));
    cr_assert(WaitUntil(world.loop, [&] { return world.answered; }));
    cr_assert(world.answer.has_value());
  }
  // Answers are kept for 0.2 s; a slow machine may need a second one.
  cr_assert_lt(world.told.snapshots, kAskers / 2);
  world.told.Take(2);
  world.Ask(0, Duration(0));
  cr_assert(WaitUntil(world.loop, [&] { return world.answered; }));
  cr_assert_eq(world.answer->snapshot.version, 2U);
}

}  // namespace
}  // namespace pathcleat
