// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/http/http_client.hpp"

#include <criterion/criterion.h>

#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "event_loop.hpp"
#include "scripted_server.hpp"
#include "tcp_proxy.hpp"

namespace pathcleat {
namespace {

constexpr Duration kLongTimeout{60'000'000};
constexpr Duration kShortTimeout{300'000};
constexpr std::chrono::milliseconds kByteInterval{10};

struct ClientFixture {
  boost::asio::io_context loop{1};
  ScriptedServer server{loop, UniqueLoopbackAddress()};
  HttpClientPtr client =
      std::make_shared<HttpClient>(loop, server.endpoint(), HttpLimits());
  std::optional<CallResult> result;

  void SendRequest(const CallTimeouts& timeouts) {
    result.reset();
    client->Send(
        {"GET", "/", {{"Host", "test"}}, ""}, timeouts,
        [this](const CallResult& call_result) { result = call_result; });
    cr_assert(Await([this] { return server.HasReceived("GET /"); }));
  }
  bool Await(const std::function<bool()>& condition) {
    return WaitUntil(loop, condition);
  }
  bool AwaitEnd() {
    return Await([this] { return result.has_value(); });
  }
};

std::string AnswerWithBody(std::size_t bytes) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bytes) +
         "\r\n\r\n" + std::string(bytes, 'x');
}

// Guards against an answer whose reading throws and that ends the process
// instead of its call. Fails without Run around OnRead (the exception leaves
// the event loop).
Test(http_client, exception_while_reading_ends_the_call) {
  ClientFixture fixture;
  fixture.client->OnHead(
      [](const HttpResponse&) { throw std::runtime_error("injected"); });
  fixture.SendRequest({kLongTimeout, kLongTimeout});
  fixture.server.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nx");
  cr_assert(fixture.AwaitEnd());
  cr_assert_eq(fixture.result->outcome, CallOutcome::kConnectionLost);
  cr_assert_str_eq(fixture.result->detail.c_str(), "injected");
}

// Guards against headers of a long answer that are read only with its last
// byte, seconds later.
Test(http_client, head_is_reported_before_the_body_has_arrived) {
  ClientFixture fixture;
  std::vector<int> heads;
  fixture.client->OnHead(
      [&heads](const HttpResponse& head) { heads.push_back(head.status); });
  fixture.SendRequest({kLongTimeout, kLongTimeout});
  fixture.server.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nx");
  cr_assert(fixture.Await([&heads] { return heads.size() == 1; }));
  cr_assert_not(fixture.result.has_value());
  fixture.server.Send("y");
  cr_assert(fixture.AwaitEnd());
  cr_assert_eq(fixture.result->response.body, std::string("xy"));
  cr_assert_eq(heads.size(), 1U);
}

// Guards against a progress timeout that ends an answer which still arrives.
// Fails without setting last_progress_at_ in OnResponseBytes.
Test(http_client, slow_answer_that_makes_progress_does_not_time_out) {
  ClientFixture fixture;
  fixture.SendRequest(
      {kLongTimeout, kLongTimeout, kLongTimeout, kShortTimeout});
  const Time started_at = BootClock::now();
  fixture.server.SendByteByByte(AnswerWithBody(80), kByteInterval);
  cr_assert(fixture.AwaitEnd());
  cr_assert(fixture.result->outcome == CallOutcome::kAnswered);
  cr_assert_eq(fixture.result->response.body.size(), 80U);
  cr_assert_gt((BootClock::now() - started_at).count(), kShortTimeout.count());
}

// Guards against waiting the total time for an answer that stopped arriving.
// Fails with CurrentDeadline returning total_deadline_ alone (the call ends
// after the total time and is not reported as silent).
Test(http_client, stalled_answer_times_out_as_silent) {
  ClientFixture fixture;
  fixture.SendRequest(
      {kLongTimeout, kShortTimeout * 10, kNoTimeout, kShortTimeout});
  fixture.server.Send(AnswerWithBody(100).substr(0, 60));
  cr_assert(fixture.AwaitEnd());
  cr_assert(fixture.result->outcome == CallOutcome::kTimedOut);
  cr_assert(fixture.result->connection_silent);
  cr_assert(fixture.client->IsSilent());
  cr_assert_not(fixture.client->IsReusable());
}

// Guards against waiting the total time for a first byte that does not come.
// Fails with CurrentDeadline returning total_deadline_ alone.
Test(http_client, connection_without_an_answer_times_out_as_silent) {
  ClientFixture fixture;
  fixture.SendRequest(
      {kLongTimeout, kShortTimeout * 10, kShortTimeout, kNoTimeout});
  cr_assert(fixture.AwaitEnd());
  cr_assert(fixture.result->outcome == CallOutcome::kTimedOut);
  cr_assert(fixture.result->connection_silent);
}

Test(http_client, total_timeout_ends_an_answer_that_still_arrives) {
  ClientFixture fixture;
  fixture.SendRequest({kLongTimeout, kShortTimeout, kNoTimeout, kShortTimeout});
  fixture.server.SendByteByByte(AnswerWithBody(100'000), kByteInterval);
  cr_assert(fixture.AwaitEnd());
  cr_assert(fixture.result->outcome == CallOutcome::kTimedOut);
  cr_assert_not(fixture.result->connection_silent);
}

// Guards against timeouts of an earlier request on a kept-alive connection that
// apply to the next request. Fails without `response_started_ = false` in Send.
Test(http_client, timeouts_restart_with_each_request) {
  ClientFixture fixture;
  fixture.SendRequest({kLongTimeout, kLongTimeout, kNoTimeout, kShortTimeout});
  fixture.server.Send(AnswerWithBody(1));
  cr_assert(fixture.AwaitEnd());
  fixture.SendRequest(
      {kLongTimeout, kShortTimeout * 10, kShortTimeout, kNoTimeout});
  cr_assert(fixture.client->reused());
  cr_assert(fixture.AwaitEnd());
  cr_assert(fixture.result->connection_silent);
}

// Guards against an interim answer (100) that starts the progress timeout while
// the peer still works on the request. Fails without resetting
// response_started_ in ReadNextResponse.
Test(http_client, interim_answer_does_not_start_the_progress_timeout) {
  ClientFixture fixture;
  fixture.SendRequest({kLongTimeout, kLongTimeout, kNoTimeout, kShortTimeout});
  fixture.server.Send("HTTP/1.1 100 Continue\r\n\r\n");
  boost::asio::steady_timer delay_timer(fixture.loop, kShortTimeout * 3);
  delay_timer.async_wait([&](const boost::system::error_code&) {
    fixture.server.Send(AnswerWithBody(1));
  });
  cr_assert(fixture.AwaitEnd());
  cr_assert(fixture.result->outcome == CallOutcome::kAnswered);
}

// A client with a proxy that can silence the connection. The acknowledgement
// timeout and TCP's shortest probe interval are far below the total time.
struct SilenceableFixture {
  boost::asio::io_context loop{1};
  ScriptedServer server{loop, UniqueLoopbackAddress()};
  TcpProxy proxy{loop, UniqueLoopbackAddress(), server.endpoint()};
  HttpClientPtr client =
      std::make_shared<HttpClient>(loop, proxy.endpoint(), HttpLimits());
  std::optional<CallResult> result;

  SilenceableFixture() { client->SetAckTimeout(kShortTimeout); }
  void SendRequest() {
    result.reset();
    client->Send(
        {"GET", "/", {{"Host", "test"}}, ""}, {kLongTimeout, kLongTimeout},
        [this](const CallResult& call_result) { result = call_result; });
  }
  bool Await(const std::function<bool()>& condition) {
    return WaitUntil(loop, condition);
  }
};

// Guards against a lost peer that is not detected while nothing is written,
// when only TCP probes can detect the loss. Fails without keep_alive in
// OnConnected (the call ends after the total time and is not reported as
// silent).
Test(http_client, waiting_request_on_a_silent_connection_fails) {
  SilenceableFixture fixture;
  fixture.SendRequest();
  cr_assert(
      fixture.Await([&] { return fixture.server.HasReceived("\r\n\r\n"); }));
  fixture.proxy.SilenceConnections(SilenceMode::kDropPackets);
  cr_assert(fixture.Await([&] { return fixture.result.has_value(); }));
  cr_assert(fixture.result->outcome == CallOutcome::kConnectionLost);
  cr_assert(fixture.result->connection_silent);
}

// Guards against an idle connection to a lost peer that counts as reusable.
// Fails without keep_alive in OnConnected.
Test(http_client, idle_silent_connection_is_closed) {
  SilenceableFixture fixture;
  fixture.SendRequest();
  cr_assert(
      fixture.Await([&] { return fixture.server.HasReceived("\r\n\r\n"); }));
  fixture.server.Send(AnswerWithBody(1));
  cr_assert(fixture.Await([&] { return fixture.result.has_value(); }));
  cr_assert(fixture.client->IsReusable());
  cr_assert_not(fixture.client->HasUnacknowledgedBytes());
  fixture.proxy.SilenceConnections(SilenceMode::kDropPackets);
  cr_assert(fixture.Await([&] { return !fixture.client->IsReusable(); }));
  cr_assert(fixture.client->IsSilent());
}

// Guards against mistaking a request that was lost on a silent connection for a
// request that the peer works on. Fails with HasUnacknowledgedBytes returning
// false.
Test(http_client, request_on_a_silent_connection_is_not_acknowledged) {
  SilenceableFixture fixture;
  fixture.SendRequest();
  cr_assert(
      fixture.Await([&] { return fixture.server.HasReceived("\r\n\r\n"); }));
  cr_assert(
      fixture.Await([&] { return !fixture.client->HasUnacknowledgedBytes(); }));
  fixture.server.Send(AnswerWithBody(1));
  cr_assert(fixture.Await([&] { return fixture.result.has_value(); }));
  fixture.proxy.SilenceConnections(SilenceMode::kDropPackets);
  fixture.SendRequest();
  cr_assert(fixture.client->reused());
  cr_assert(
      fixture.Await([&] { return fixture.client->HasUnacknowledgedBytes(); }));
  cr_assert(fixture.Await([&] { return fixture.result.has_value(); }));
  cr_assert(fixture.result->connection_silent);
}

// Guards against trailers or chunk lines of an answer that are read without
// limit.
Test(http_client, lines_without_end_in_an_answer_end_the_call) {
  constexpr std::size_t kEndlessBytes = 1'000'000;
  const std::string head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string line : {"0\r\na: ", "1;", "0"}) {
    ClientFixture fixture;
    fixture.SendRequest({kLongTimeout, kLongTimeout});
    fixture.server.Send(head + line + std::string(kEndlessBytes, '0'));
    cr_assert(fixture.AwaitEnd());
    cr_assert(fixture.result->outcome == CallOutcome::kConnectionLost);
    cr_assert_lt(fixture.result->received_bytes, kEndlessBytes);
  }
}

// Guards against interim answers that are read without limit.
Test(http_client, interim_answers_without_end_end_the_call) {
  ClientFixture fixture;
  fixture.SendRequest({kLongTimeout, kLongTimeout});
  std::string interim;
  constexpr int kCount = 1'000;
  for (int i = 0; i < kCount; ++i) {
    interim += "HTTP/1.1 103 Early Hints\r\n\r\n";
  }
  fixture.server.Send(interim);
  cr_assert(fixture.AwaitEnd());
  cr_assert(fixture.result->outcome == CallOutcome::kConnectionLost);
}

}  // namespace
}  // namespace pathcleat
