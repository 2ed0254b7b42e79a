// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/http/http_server.hpp"

#include <criterion/criterion.h>

#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "descriptor_exhaustion.hpp"
#include "event_loop.hpp"
#include "listen_on_any_port.hpp"
#include "pathcleat/http/http_message.hpp"
#include "raw_client.hpp"

namespace pathcleat {
namespace {

constexpr const char* kCompleteRequest = "GET / HTTP/1.1\r\nHost: test\r\n\r\n";
constexpr const char* kPartialRequest = "GET / HTTP/1.1\r\nHo";

// A server that answers at once, or keeps requests open if hold_answers is set.
struct ServerFixture {
  boost::asio::io_context loop{1};
  std::string address = UniqueLoopbackAddress();
  bool hold_answers = false;
  bool throws = false;  ///< the handler
  std::vector<HttpExchangePtr> held_exchanges;
  HttpServer server{loop, [this](const HttpExchangePtr& e) { Handle(e); }};
  std::uint16_t port = 0;
  std::vector<std::unique_ptr<RawClient>> callers;

  ServerFixture() {
    SilenceLog();
    // Keeps the timeouts from closing partial requests during a test.
    HttpLimits limits;
    limits.read_timeout = std::chrono::hours(1);
    limits.idle_timeout = std::chrono::hours(1);
    server.SetLimits(limits);
    port = ListenOnAnyPort(server, address);
  }

  void Handle(const HttpExchangePtr& exchange) {
    if (throws) {
      throw std::runtime_error("injected");
    }
    if (hold_answers) {
      held_exchanges.push_back(exchange);
    } else {
      exchange->Respond(TextResponse(200, "done\n"));
    }
  }

  RawClient& AddCaller(const std::string& text) {
    callers.push_back(std::make_unique<RawClient>(loop, address, port));
    callers.back()->Send(text);
    return *callers.back();
  }

  void AddCallers(int count, const std::string& text) {
    const std::size_t before = server.connection_count();
    for (int i = 0; i < count; ++i) {
      AddCaller(text);
    }
    cr_assert(
        Await([&] { return server.connection_count() == before + count; }));
    cr_assert(Await([&] {
      return !hold_answers || held_exchanges.size() >= before + count;
    }));
  }

  bool Await(const std::function<bool()>& condition) {
    return WaitUntil(loop, condition);
  }
};

// Guards against a request whose caller breaks off in its body and that is
// handled with the part that has arrived, as if the end of the connection were
// its end.
Test(http_server, request_that_breaks_off_in_its_body_is_not_handled) {
  ServerFixture fixture;
  fixture.hold_answers = true;
  const std::string head = "POST / HTTP/1.1\r\nHost: test\r\n";
  for (const std::string body :
       {"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n",
        "Content-Length: 5\r\n\r\nbody"}) {
    fixture.AddCaller(head + body);
    fixture.AddCaller(head + body);
    fixture.AddCaller(head + body);
  }
  cr_assert(fixture.Await([&] {
    return fixture.server.connection_count() == fixture.callers.size();
  }));
  for (std::size_t i = 0; i < fixture.callers.size(); i += 3) {
    fixture.callers[i]->Reset();
    fixture.callers[i + 1]->HalfClose();
    fixture.callers[i + 2]->Close();
  }
  fixture.AddCaller(kCompleteRequest);
  cr_assert(fixture.Await([&] { return fixture.held_exchanges.size() == 1; }));
  cr_assert(
      fixture.Await([&] { return fixture.server.connection_count() == 1; }));
  cr_assert_eq(fixture.held_exchanges.size(), 1U);
}

// Guards against one request whose handler throws and that ends the process:
// the exception left the event loop. Fails without ContainFailures.
Test(http_server, exception_of_a_handler_ends_its_request_alone) {
  ServerFixture fixture;
  EventLog events("host", 10);
  HandlerFailures failures(events);
  fixture.server.ContainFailures(failures);
  fixture.hold_answers = true;
  RawClient& waiting = fixture.AddCaller(kCompleteRequest);
  cr_assert(fixture.Await([&] { return !fixture.held_exchanges.empty(); }));
  fixture.hold_answers = false;
  fixture.throws = true;
  RawClient& failed = fixture.AddCaller(kCompleteRequest);
  cr_assert(fixture.Await([&] { return failed.IsClosed(); }));
  cr_assert(failed.HasReceived("HTTP/1.1 500"), "%s",
            failed.received().c_str());
  fixture.throws = false;
  RawClient& next = fixture.AddCaller(kCompleteRequest);
  cr_assert(fixture.Await([&] { return next.HasReceived("200 OK"); }));
  fixture.held_exchanges.front()->Respond(TextResponse(200, "done\n"));
  cr_assert(fixture.Await([&] { return waiting.HasReceived("200 OK"); }));
  cr_assert_eq(
      failures.counts().at(static_cast<std::size_t>(EntryPoint::kRequest)), 1U);
  cr_assert_eq(events.Snapshot().back().code, EventCode::kHandlerFailed);
}

// Guards against partial requests that use up all connections and keep new
// callers out. Fails without Evict in EvictConnections (the oldest connection
// stays open) and with EvictConnections returning false (the new caller gets
// 503).
Test(http_server, partial_requests_are_evicted_for_new_callers) {
  ServerFixture fixture;
  constexpr std::size_t kMaxConnections = 8;
  fixture.server.SetMaxConnections(kMaxConnections);
  fixture.AddCallers(kMaxConnections, kPartialRequest);
  RawClient& caller = fixture.AddCaller(kCompleteRequest);
  cr_assert(fixture.Await([&] { return caller.HasReceived("200 OK"); }));
  RawClient& oldest = *fixture.callers.front();
  cr_assert(fixture.Await([&] { return oldest.IsClosed(); }));
  cr_assert(oldest.HasReceived("HTTP/1.1 503"));
  cr_assert(oldest.HasReceived("not run"));
  cr_assert(oldest.HasReceived("Retry-After: "));
  cr_assert_leq(fixture.server.connection_count(), kMaxConnections);
}

// Requests in progress are never evicted; a caller beyond the limit gets the
// answer that its request was not run. Fails if OpenSession calls Start
// instead of Evict for the rejected connection (the caller waits forever).
Test(http_server, caller_beyond_the_connection_limit_is_answered_not_run) {
  ServerFixture fixture;
  constexpr std::size_t kMaxConnections = 4;
  fixture.server.SetMaxConnections(kMaxConnections);
  fixture.hold_answers = true;
  fixture.AddCallers(kMaxConnections, kCompleteRequest);
  RawClient& caller = fixture.AddCaller(kCompleteRequest);
  cr_assert(fixture.Await([&] { return caller.IsClosed(); }));
  cr_assert(caller.HasReceived("HTTP/1.1 503"));
  cr_assert(caller.HasReceived("Retry-After: "));
  cr_assert_eq(fixture.held_exchanges.size(), kMaxConnections);
  for (const HttpExchangePtr& exchange : fixture.held_exchanges) {
    exchange->Respond(TextResponse(200, "done\n"));
  }
  for (std::size_t i = 0; i < kMaxConnections; ++i) {
    cr_assert(fixture.Await(
        [&] { return fixture.callers[i]->HasReceived("200 OK"); }));
  }
}

// Guards against partial requests that use up all file descriptors and keep new
// callers out. Fails without Evict in EvictConnections (no answer).
Test(http_server, descriptor_limit_evicts_partial_requests) {
  ServerFixture fixture;
  fixture.AddCallers(4, kPartialRequest);
  boost::asio::ip::tcp::socket socket(fixture.loop);
  socket.open(boost::asio::ip::tcp::v4());
  const DescriptorExhaustion exhaustion;
  socket.connect(
      {boost::asio::ip::make_address(fixture.address), fixture.port});
  boost::asio::write(socket,
                     boost::asio::buffer(std::string(kCompleteRequest)));
  cr_assert(fixture.Await([&] { return socket.available() > 0; }));
  std::string answer(socket.available(), ' ');
  socket.read_some(boost::asio::buffer(answer));
  cr_assert(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
  cr_assert(fixture.server.CanAccept());
}

// Guards against a server whose CanAccept returns true while it has no free
// file descriptors and all its connections wait for answers. Fails without
// setting can_accept_ to false in OnAcceptFailed.
Test(http_server, server_without_descriptors_reports_that_it_cannot_accept) {
  ServerFixture fixture;
  fixture.hold_answers = true;
  fixture.AddCallers(2, kCompleteRequest);
  boost::asio::ip::tcp::socket socket(fixture.loop);
  socket.open(boost::asio::ip::tcp::v4());
  DescriptorExhaustion exhaustion;
  socket.connect(
      {boost::asio::ip::make_address(fixture.address), fixture.port});
  cr_assert(fixture.Await([&] { return !fixture.server.CanAccept(); }));
  cr_assert_eq(fixture.server.connection_count(), 2U);
  exhaustion.Release(4);
  cr_assert(fixture.Await([&] { return fixture.server.CanAccept(); }));
  cr_assert_eq(fixture.server.connection_count(), 3U);
}

// How binding and listening at a port ends: nothing if it succeeds.
std::optional<ErrorCode> TryListen(HttpServer& server,
                                   const std::string& address,
                                   std::uint16_t port) {
  return TryOr(
      [&]() -> Result<std::optional<ErrorCode>> {
        BOOST_LEAF_CHECK(server.Bind(address, port));
        BOOST_LEAF_CHECK(server.StartAccepting());
        return std::optional<ErrorCode>();
      },
      [](const Error& error) { return std::optional(error.code); });
}

// Guards against a server that cannot be opened any more after its port was
// taken once, and against two servers at one port.
Test(http_server, port_that_was_taken_is_opened_later) {
  ServerFixture fixture;
  boost::asio::ip::tcp::acceptor holder(
      fixture.loop, {boost::asio::ip::make_address(fixture.address), 0});
  HttpServer server(fixture.loop, [](const HttpExchangePtr& exchange) {
    exchange->Respond(TextResponse(200, "done\n"));
  });
  fixture.port = holder.local_endpoint().port();
  cr_assert(TryListen(server, fixture.address, fixture.port) ==
            ErrorCode::kInUse);
  cr_assert(TryListen(server, fixture.address, fixture.port) ==
            ErrorCode::kInUse);
  holder.close();
  cr_assert(!TryListen(server, fixture.address, fixture.port));
  RawClient& caller = fixture.AddCaller(kCompleteRequest);
  cr_assert(fixture.Await([&] { return caller.HasReceived("HTTP/1.1 200"); }));
}

// Guards against a listener that was closed before all ports of its host were
// open, and does not accept when it is opened again.
Test(http_server, closed_listener_accepts_when_it_is_opened_again) {
  ServerFixture fixture;
  fixture.server.CloseListener();
  cr_assert(!TryListen(fixture.server, fixture.address, fixture.port));
  RawClient& caller = fixture.AddCaller(kCompleteRequest);
  cr_assert(fixture.Await([&] { return caller.HasReceived("HTTP/1.1 200"); }));
}

// Guards against a wait for what cannot be had: an address of another machine,
// or text that is no address.
Test(http_server, address_that_cannot_be_had_is_refused) {
  ServerFixture fixture;
  HttpServer server(fixture.loop, [](const HttpExchangePtr&) {});
  cr_assert(TryListen(server, "192.0.2.1", 1) == ErrorCode::kRefused);
  cr_assert(TryListen(server, "no address", 1) == ErrorCode::kRefused);
}

}  // namespace
}  // namespace pathcleat
