// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/http/http_client.hpp"

#include <criterion/criterion.h>

#include <memory>
#include <optional>
#include <string>

#include "event_loop.hpp"
#include "scripted_server.hpp"
#include "tcp_proxy.hpp"

namespace pathcleat {
namespace {

constexpr Duration kFarOff{60'000'000};
constexpr Duration kShort{300'000};
constexpr std::chrono::milliseconds kPace{10};

struct ClientWorld {
  boost::asio::io_context loop{1};
  ScriptedServer server{loop, UniqueLoopbackAddress()};
  HttpClientPtr client =
      std::make_shared<HttpClient>(loop, server.endpoint(), HttpLimits());
  std::optional<CallResult> result;

  void Ask(const CallTimeouts& timeouts) {
    result.reset();
    client->Send({"GET", "/", {{"Host", "test"}}, ""}, timeouts,
                 [this](const CallResult& ended) { result = ended; });
    cr_assert(Await([this] { return server.HasReceived("GET /"); }));
  }
  bool Await(const std::function<bool()>& condition) {
    return WaitUntil(loop, condition);
  }
  bool AwaitEnd() {
    return Await([this] { return result.has_value(); });
  }
};

std::string AnswerOf(std::size_t bytes) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bytes) +
         "\r\n\r\n" + std::string(bytes, 'x');
}

// Checked to fail with `quiet_since_` not set in NoteHeard.
Test(http_client, answer_that_keeps_arriving_is_waited_for) {
  ClientWorld world;
  world.Ask({kFarOff, kFarOff, kFarOff, kShort});
  const Time began = BootClock::now();
  world.server.SendByteByByte(AnswerOf(80), kPace);
  cr_assert(world.AwaitEnd());
  cr_assert(world.result->outcome == CallOutcome::kAnswered);
  cr_assert_eq(world.result->response.body.size(), 80U);
  cr_assert_gt((BootClock::now() - began).count(), kShort.count());
}

// Checked to fail (not silent, after the total time) with Limit() returning
// deadline_ alone.
Test(http_client, answer_that_stopped_is_given_up_as_silent) {
  ClientWorld world;
  world.Ask({kFarOff, kShort * 10, kNoTimeout, kShort});
  world.server.Send(AnswerOf(100).substr(0, 60));
  cr_assert(world.AwaitEnd());
  cr_assert(world.result->outcome == CallOutcome::kTimedOut);
  cr_assert(world.result->connection_silent);
  cr_assert(world.client->IsSilent());
  cr_assert_not(world.client->IsReusable());
}

// Checked to fail in the same way.
Test(http_client, connection_without_any_answer_is_given_up_as_silent) {
  ClientWorld world;
  world.Ask({kFarOff, kShort * 10, kShort, kNoTimeout});
  cr_assert(world.AwaitEnd());
  cr_assert(world.result->outcome == CallOutcome::kTimedOut);
  cr_assert(world.result->connection_silent);
}

Test(http_client, total_time_ends_an_answer_that_still_arrives) {
  ClientWorld world;
  world.Ask({kFarOff, kShort, kNoTimeout, kShort});
  world.server.SendByteByByte(AnswerOf(100'000), kPace);
  cr_assert(world.AwaitEnd());
  cr_assert(world.result->outcome == CallOutcome::kTimedOut);
  cr_assert_not(world.result->connection_silent);
}

// A kept connection's second answer has its own limits. Checked to fail with
// `heard_ = false` taken out of Send.
Test(http_client, limits_begin_anew_with_each_request) {
  ClientWorld world;
  world.Ask({kFarOff, kFarOff, kNoTimeout, kShort});
  world.server.Send(AnswerOf(1));
  cr_assert(world.AwaitEnd());
  world.Ask({kFarOff, kShort * 10, kShort, kNoTimeout});
  cr_assert(world.client->reused());
  cr_assert(world.AwaitEnd());
  cr_assert(world.result->connection_silent);
}

// An interim answer is none: what works on may take its time after it.
// Checked to fail with `heard_` left as it is in AwaitNext.
Test(http_client, interim_answer_starts_no_limit_on_progress) {
  ClientWorld world;
  world.Ask({kFarOff, kFarOff, kNoTimeout, kShort});
  world.server.Send("HTTP/1.1 100 Continue\r\n\r\n");
  boost::asio::steady_timer late(world.loop, kShort * 3);
  late.async_wait([&](const boost::system::error_code&) {
    world.server.Send(AnswerOf(1));
  });
  cr_assert(world.AwaitEnd());
  cr_assert(world.result->outcome == CallOutcome::kAnswered);
}

// A client whose connection can fall silent; its limit, and TCP's shortest
// pause before a probe, are far below the total time.
struct SilentWorld {
  boost::asio::io_context loop{1};
  ScriptedServer server{loop, UniqueLoopbackAddress()};
  TcpProxy way{loop, UniqueLoopbackAddress(), server.endpoint()};
  HttpClientPtr client =
      std::make_shared<HttpClient>(loop, way.endpoint(), HttpLimits());
  std::optional<CallResult> result;

  SilentWorld() { client->SetAckTimeout(kShort); }
  void Ask() {
    result.reset();
    client->Send({"GET", "/", {{"Host", "test"}}, ""}, {kFarOff, kFarOff},
                 [this](const CallResult& ended) { result = ended; });
  }
  bool Await(const std::function<bool()>& condition) {
    return WaitUntil(loop, condition);
  }
};

// A wait in which nothing is written: only probes can tell. Checked to fail
// (not silent, after the total time) with keep_alive taken out of OnConnected.
Test(http_client, wait_on_a_connection_that_fell_silent_is_given_up) {
  SilentWorld world;
  world.Ask();
  cr_assert(world.Await([&] { return world.server.HasReceived("\r\n\r\n"); }));
  world.way.SilenceConnections(SilenceMode::kDropPackets);
  cr_assert(world.Await([&] { return world.result.has_value(); }));
  cr_assert(world.result->outcome == CallOutcome::kConnectionLost);
  cr_assert(world.result->connection_silent);
}

// Checked to fail in the same way.
Test(http_client, idle_connection_that_fell_silent_is_given_up) {
  SilentWorld world;
  world.Ask();
  cr_assert(world.Await([&] { return world.server.HasReceived("\r\n\r\n"); }));
  world.server.Send(AnswerOf(1));
  cr_assert(world.Await([&] { return world.result.has_value(); }));
  cr_assert(world.client->IsReusable());
  cr_assert_not(world.client->HasUnacknowledgedBytes());
  world.way.SilenceConnections(SilenceMode::kDropPackets);
  cr_assert(world.Await([&] { return !world.client->IsReusable(); }));
  cr_assert(world.client->IsSilent());
}

// What was sent into silence is told from what a peer is at work on.
// Checked to fail with HasUnacknowledgedBytes returning false.
Test(http_client, request_sent_into_silence_is_not_acknowledged) {
  SilentWorld world;
  world.Ask();
  cr_assert(world.Await([&] { return world.server.HasReceived("\r\n\r\n"); }));
  cr_assert(
      world.Await([&] { return !world.client->HasUnacknowledgedBytes(); }));
  world.server.Send(AnswerOf(1));
  cr_assert(world.Await([&] { return world.result.has_value(); }));
  world.way.SilenceConnections(SilenceMode::kDropPackets);
  world.Ask();
  cr_assert(world.client->reused());
  cr_assert(
      world.Await([&] { return world.client->HasUnacknowledgedBytes(); }));
  cr_assert(world.Await([&] { return world.result.has_value(); }));
  cr_assert(world.result->connection_silent);
}

}  // namespace
}  // namespace pathcleat
