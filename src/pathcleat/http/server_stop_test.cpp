// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/http/http_server.hpp"

#include <array>
#include <boost/asio/write.hpp>
#include <string>
#include <string_view>

#include "event_loop.hpp"
#include "pathcleat/http/http_status.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

using boost::asio::ip::tcp;

constexpr std::uint16_t kPort = 20'000;
constexpr std::string_view kRequest =
    "GET /item HTTP/1.1\r\nHost: test.example\r\n\r\n";

// A server, and a caller whose writes have arrived when they return.
struct ServerWorld {
  ServerWorld() {
    const bool open = TryOr(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(server.Listen(address, kPort));
          return true;
        },
        [](const Error&) { return false; });
    cr_assert(open);
    caller.connect({boost::asio::ip::make_address(address), kPort});
  }

  void Send() { boost::asio::write(caller, boost::asio::buffer(kRequest)); }

  std::string AwaitEnd() {
    caller.non_blocking(true);
    std::string text;
    cr_assert(WaitUntil(loop, [&] {
      std::array<char, 4096> bytes{};
      boost::system::error_code error;
      const std::size_t size =
          caller.read_some(boost::asio::buffer(bytes), error);
      text.append(bytes.data(), size);
      return error && error != boost::asio::error::would_block;
    }));
    return text;
  }

  boost::asio::io_context loop{1};
  std::string address = UniqueLoopbackAddress();
  int handled = 0;
  HttpServer server{
      loop, [this](const HttpExchangePtr& exchange) {
        ++handled;
        exchange->Respond(TextResponse(http_status::kOk, "done\n"));
      }};
  tcp::socket caller{loop};
};

// A busy host comes to its stop with requests that it has not read yet. They
// were read and dropped, and their callers saw the connection end. Checked to
// fail (nothing received) with CloseIfIdle called by ServerSession::Finish at
// once: the first read has ended by then and is not handled yet.
Test(http_server, request_that_waits_to_be_accepted_is_answered_at_the_end) {
  ServerWorld world;
  world.Send();
  world.server.StopAccepting();
  world.server.CloseGracefully();
  const std::string text = world.AwaitEnd();
  cr_assert(text.starts_with("HTTP/1.1 200"), "%s", text.c_str());
  cr_assert_neq(text.find("Connection: close"), std::string::npos);
}

// Checked to fail (nothing received) without unread in CloseIfIdle.
Test(http_server, request_that_waits_to_be_read_is_answered_at_the_end) {
  ServerWorld world;
  cr_assert(WaitUntil(world.loop,
                      [&] { return world.server.connection_count() == 1; }));
  world.Send();
  world.server.CloseGracefully();
  const std::string text = world.AwaitEnd();
  cr_assert(text.starts_with("HTTP/1.1 200"), "%s", text.c_str());
}

Test(http_server, connection_without_a_request_ends_at_the_end) {
  ServerWorld world;
  cr_assert(WaitUntil(world.loop,
                      [&] { return world.server.connection_count() == 1; }));
  world.server.CloseGracefully();
  cr_assert_str_empty(world.AwaitEnd().c_str());
  cr_assert_eq(world.handled, 0);
}

}  // namespace
}  // namespace pathcleat
