// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/http/http_server.hpp"

#include <array>
#include <boost/asio/write.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "descriptor_exhaustion.hpp"
#include "event_loop.hpp"
#include "pathcleat/http/http_status.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

using boost::asio::ip::tcp;

constexpr std::uint16_t kPort = 20'000;
constexpr std::string_view kRequest =
    "GET /item HTTP/1.1\r\nHost: test.example\r\n\r\n";

// A server and a connected caller. The writes of the caller are blocking, so
// that their bytes have arrived at the server's socket when they return.
struct ServerFixture {
  ServerFixture() {
    const bool listening = TryOr(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(server.Listen(address, kPort));
          return true;
        },
        [](const Error&) { return false; });
    cr_assert(listening);
    caller.connect({boost::asio::ip::make_address(address), kPort});
  }

  void Send() { boost::asio::write(caller, boost::asio::buffer(kRequest)); }

  std::string ReadUntilClosed() {
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
  int handled_requests = 0;
  HttpServer server{
      loop, [this](const HttpExchangePtr& exchange) {
        ++handled_requests;
        exchange->Respond(TextResponse(http_status::kOk, "done\n"));
      }};
  tcp::socket caller{loop};
};

// Guards against requests that a busy host has not read before shutdown and
// then drops, so that their callers see the connection close without an answer.
// Fails without the post in ServerSession::CloseGracefully (the caller receives
// nothing), as the first read has completed before CloseGracefully but is not
// handled yet.
Test(http_server, request_in_the_accept_queue_is_answered_on_shutdown) {
  ServerFixture fixture;
  fixture.Send();
  fixture.server.StopAccepting();
  fixture.server.CloseGracefully();
  const std::string text = fixture.ReadUntilClosed();
  cr_assert(text.starts_with("HTTP/1.1 200"), "%s", text.c_str());
  cr_assert_neq(text.find("Connection: close"), std::string::npos);
}

// Guards against dropping a request that has arrived but has not been read.
// Fails if CloseIfIdle does not check for unread bytes (the caller receives
// nothing).
Test(http_server, unread_request_is_answered_on_shutdown) {
  ServerFixture fixture;
  cr_assert(WaitUntil(fixture.loop,
                      [&] { return fixture.server.connection_count() == 1; }));
  fixture.Send();
  fixture.server.CloseGracefully();
  const std::string text = fixture.ReadUntilClosed();
  cr_assert(text.starts_with("HTTP/1.1 200"), "%s", text.c_str());
}

// Guards against a request in the accept queue whose connection is reset on
// shutdown, as no file descriptor is free to accept it, while idle connections
// hold some.
Test(http_server, accept_queue_is_answered_without_free_descriptors) {
  ServerFixture fixture;
  cr_assert(WaitUntil(fixture.loop,
                      [&] { return fixture.server.connection_count() == 1; }));
  const tcp::socket idle = std::move(fixture.caller);
  fixture.caller = tcp::socket(fixture.loop);
  fixture.caller.open(tcp::v4());
  const DescriptorExhaustion exhaustion;
  fixture.caller.connect(
      {boost::asio::ip::make_address(fixture.address), kPort});
  fixture.Send();
  fixture.server.StopAccepting();
  fixture.server.CloseGracefully();
  const std::string text = fixture.ReadUntilClosed();
  cr_assert(text.starts_with("HTTP/1.1 200"), "%s", text.c_str());
}

Test(http_server, idle_connection_is_closed_on_shutdown) {
  ServerFixture fixture;
  cr_assert(WaitUntil(fixture.loop,
                      [&] { return fixture.server.connection_count() == 1; }));
  fixture.server.CloseGracefully();
  cr_assert_str_empty(fixture.ReadUntilClosed().c_str());
  cr_assert_eq(fixture.handled_requests, 0);
}

}  // namespace
}  // namespace pathcleat
