// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/http/http_server.hpp"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

#include "descriptor_exhaustion.hpp"
#include "event_loop.hpp"
#include "pathcleat/http/http_message.hpp"
#include "raw_client.hpp"

namespace pathcleat {
namespace {

constexpr const char* kWhole = "GET / HTTP/1.1\r\nHost: test\r\n\r\n";
constexpr const char* kHalf = "GET / HTTP/1.1\r\nHo";

// A server that answers at once, or when told to.
struct ServerWorld {
  boost::asio::io_context loop{1};
  std::string address = UniqueLoopbackAddress();
  bool hold = false;
  std::vector<HttpExchangePtr> held;
  HttpServer server{loop, [this](const HttpExchangePtr& e) { Handle(e); }};
  std::uint16_t port = 0;
  std::vector<std::unique_ptr<RawClient>> callers;

  ServerWorld() {
    // Half-sent requests end for no other reason within a test.
    HttpLimits limits;
    limits.read_timeout = std::chrono::hours(1);
    limits.idle_timeout = std::chrono::hours(1);
    server.SetLimits(limits);
    TryOr(
        [this]() -> Result<void> {
          BOOST_LEAF_ASSIGN(port, server.Listen(address, 0));
          return {};
        },
        [](const Error&) {});
    cr_assert_gt(port, 0);
  }

  void Handle(const HttpExchangePtr& exchange) {
    if (hold) {
      held.push_back(exchange);
    } else {
      exchange->Respond(TextResponse(200, "done\n"));
    }
  }

  RawClient& Caller(const std::string& text) {
    callers.push_back(std::make_unique<RawClient>(loop, address, port));
    callers.back()->Send(text);
    return *callers.back();
  }

  void Callers(int count, const std::string& text) {
    const std::size_t before = server.connection_count();
    for (int i = 0; i < count; ++i) {
      Caller(text);
    }
    cr_assert(
        Await([&] { return server.connection_count() == before + count; }));
    cr_assert(Await([&] { return !hold || held.size() >= before + count; }));
  }

  bool Await(const std::function<bool()>& condition) {
    return WaitUntil(loop, condition);
  }
};

// Checked to fail (the longest is not ended) with Evict not called in
// MakeRoom, and (the new caller is told 503) with MakeRoom returning false.
Test(http_server, half_sent_requests_give_way_to_new_callers) {
  ServerWorld world;
  constexpr std::size_t kMost = 8;
  world.server.SetMaxConnections(kMost);
  world.Callers(kMost, kHalf);
  RawClient& caller = world.Caller(kWhole);
  cr_assert(world.Await([&] { return caller.HasReceived("200 OK"); }));
  RawClient& longest = *world.callers.front();
  cr_assert(world.Await([&] { return longest.IsClosed(); }));
  cr_assert(longest.HasReceived("HTTP/1.1 503"));
  cr_assert(longest.HasReceived("not run"));
  cr_assert(longest.HasReceived("Retry-After: "));
  cr_assert_leq(world.server.connection_count(), kMost);
}

// Requests under way are never ended for others; those get a true answer.
// Checked to fail (the caller waits for good) with the shed connection started
// in place of Evict.
Test(http_server, caller_beyond_the_bound_is_told_that_nothing_ran) {
  ServerWorld world;
  constexpr std::size_t kMost = 4;
  world.server.SetMaxConnections(kMost);
  world.hold = true;
  world.Callers(kMost, kWhole);
  RawClient& caller = world.Caller(kWhole);
  cr_assert(world.Await([&] { return caller.IsClosed(); }));
  cr_assert(caller.HasReceived("HTTP/1.1 503"));
  cr_assert(caller.HasReceived("Retry-After: "));
  cr_assert_eq(world.held.size(), kMost);
  for (const HttpExchangePtr& exchange : world.held) {
    exchange->Respond(TextResponse(200, "done\n"));
  }
  for (std::size_t i = 0; i < kMost; ++i) {
    cr_assert(
        world.Await([&] { return world.callers[i]->HasReceived("200 OK"); }));
  }
}

// Checked to fail (no answer) with Evict not called in MakeRoom.
Test(http_server, descriptor_limit_ends_what_waits_for_nothing) {
  ServerWorld world;
  world.Callers(4, kHalf);
  boost::asio::ip::tcp::socket socket(world.loop);
  socket.open(boost::asio::ip::tcp::v4());
  const DescriptorExhaustion none;
  socket.connect({boost::asio::ip::make_address(world.address), world.port});
  boost::asio::write(socket, boost::asio::buffer(std::string(kWhole)));
  cr_assert(world.Await([&] { return socket.available() > 0; }));
  std::string answer(socket.available(), ' ');
  socket.read_some(boost::asio::buffer(answer));
  cr_assert(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
  cr_assert(world.server.CanAccept());
}

// Where all are under way it says that it takes none, until it does again.
// Checked to fail with can_accept_ left true in OnAcceptFailed.
Test(http_server, server_without_descriptors_says_that_it_accepts_none) {
  ServerWorld world;
  world.hold = true;
  world.Callers(2, kWhole);
  boost::asio::ip::tcp::socket socket(world.loop);
  socket.open(boost::asio::ip::tcp::v4());
  DescriptorExhaustion none;
  socket.connect({boost::asio::ip::make_address(world.address), world.port});
  cr_assert(world.Await([&] { return !world.server.CanAccept(); }));
  cr_assert_eq(world.server.connection_count(), 2U);
  none.Release(4);
  cr_assert(world.Await([&] { return world.server.CanAccept(); }));
  cr_assert_eq(world.server.connection_count(), 3U);
}

}  // namespace
}  // namespace pathcleat
