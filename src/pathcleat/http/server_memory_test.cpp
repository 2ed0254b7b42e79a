// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// A server whose connections share a memory budget.

#include "pathcleat/http/http_server.hpp"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "event_loop.hpp"
#include "listen_on_any_port.hpp"
#include "pathcleat/http/http_message.hpp"
#include "raw_client.hpp"

namespace pathcleat {
namespace {

constexpr std::uint64_t kBudget = 4'000'000;
// One such body fits, two do not.
constexpr std::size_t kLargeBody = 1'500'000;
// Larger than what the kernel takes of an answer that nobody reads.
constexpr std::size_t kLargeAnswer = 12'000'000;

struct MemoryFixture {
  boost::asio::io_context loop{1};
  std::string address = UniqueLoopbackAddress();
  MemoryBudgetPtr budget;
  std::vector<Rejection> rejections;
  HttpServer server{loop, [this](const HttpExchangePtr& e) { Handle(e); }};
  std::uint16_t port = 0;

  explicit MemoryFixture(std::uint64_t limit = kBudget)
      : budget(std::make_shared<MemoryBudget>(limit)) {
    HttpLimits limits;
    limits.max_body_bytes = kBudget;
    limits.read_timeout = std::chrono::hours(1);
    limits.idle_timeout = std::chrono::hours(1);
    server.SetLimits(limits);
    server.SetMemoryBudget(budget);
    server.SetRequestIdHeader("X-Id");
    server.OnRejected([this](const Rejection& rejection) {
      rejections.push_back(rejection);
    });
    port = ListenOnAnyPort(server, address);
  }

  // Answers "GET /large" with a body whose memory is part of the budget.
  void Handle(const HttpExchangePtr& exchange) const {
    if (exchange->request().target != "/large") {
      exchange->Respond(TextResponse(200, "done\n"));
      return;
    }
    const std::string text(kLargeAnswer, 'a');
    ByteBuffer bytes;
    cr_assert(bytes.Append(text.data(), text.size()));
    auto lease = std::make_unique<MemoryLease>(budget, MemoryUse::kAnswers);
    cr_assert(lease->Resize(text.size(), BootClock::now()));
    exchange->Respond(
        {200, {}, MessageBody(std::move(bytes), std::move(lease))});
  }

  std::unique_ptr<RawClient> Send(const std::string& text) {
    auto caller = std::make_unique<RawClient>(loop, address, port);
    caller->Send(text);
    return caller;
  }

  // Sends a request over a connection with a small window that is never read.
  int ConnectWithoutReading(const std::string& request_line) const {
    constexpr int kReceiveBuffer = 4'096;
    const int caller = ::socket(AF_INET, SOCK_STREAM, 0);
    ::setsockopt(caller, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer,
                 sizeof kReceiveBuffer);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(port);
    ::inet_pton(AF_INET, address.c_str(), &target.sin_addr);
    cr_assert_eq(::connect(caller, reinterpret_cast<const sockaddr*>(&target),
                           sizeof target),
                 0);
    const std::string request = request_line + " HTTP/1.1\r\nHost: t\r\n\r\n";
    cr_assert_gt(::send(caller, request.data(), request.size(), MSG_NOSIGNAL),
                 0);
    return caller;
  }

  bool Await(const std::function<bool()>& condition) {
    return WaitUntil(loop, condition);
  }
};

std::string Upload(const std::string& id,
                   std::size_t announced,
                   std::size_t sent) {
  return "POST / HTTP/1.1\r\nHost: test\r\nX-Id: " + id +
         "\r\nContent-Length: " + std::to_string(announced) + "\r\n\r\n" +
         std::string(sent, 'b');
}

// Guards against a refusal that does not say that the request has not run, or
// that cannot be found in the log.
Test(server_memory, upload_without_memory_is_refused_as_not_run) {
  MemoryFixture fixture;
  const auto first = fixture.Send(Upload("first", kLargeBody, 0));
  cr_assert(fixture.Await([&] { return fixture.budget->used() > kLargeBody; }));
  const auto second = fixture.Send(Upload("second", kLargeBody, 0));
  cr_assert(fixture.Await([&] { return second->HasReceived("not run"); }));
  cr_assert(second->HasReceived("HTTP/1.1 503"));
  cr_assert(second->HasReceived("Retry-After: "));
  cr_assert_eq(fixture.rejections.size(), 1U);
  cr_assert(fixture.rejections[0].cause == RejectionCause::kNoMemory);
  cr_assert_eq(fixture.rejections[0].request_id, "second");
  const auto small = fixture.Send(Upload("small", 10, 10));
  cr_assert(fixture.Await([&] { return small->HasReceived("200 OK"); }));
}

// Guards against a body that stops short and keeps others out until its time
// limit is over.
Test(server_memory, stalled_upload_is_given_up_for_another) {
  MemoryFixture fixture;
  const auto stalled =
      fixture.Send(Upload("stalled", kLargeBody, kLargeBody / 2));
  cr_assert(fixture.Await([&] { return fixture.budget->used() > kLargeBody; }));
  std::unique_ptr<RawClient> other;
  cr_assert(fixture.Await([&] {
    if (!other || other->IsClosed()) {
      other = fixture.Send(Upload("other", kLargeBody, kLargeBody));
    }
    return other->HasReceived("200 OK");
  }));
  cr_assert(fixture.Await([&] { return stalled->IsClosed(); }));
  cr_assert(stalled->HasReceived("HTTP/1.1 503"));
  cr_assert(fixture.rejections.back().cause == RejectionCause::kStalled);
}

// Guards against all unread answers that are given up where one is enough, as
// the memory of an answer was released only after its connection was closed.
Test(server_memory, no_more_answers_are_given_up_than_needed) {
  constexpr int kAnswers = 2;
  constexpr std::uint64_t kNeeded = 8'000'000;
  MemoryFixture fixture(40'000'000);
  std::vector<int> callers;
  for (int i = 0; i < kAnswers; ++i) {
    callers.push_back(fixture.ConnectWithoutReading("GET /large"));
  }
  cr_assert(fixture.Await(
      [&] { return fixture.budget->used() > kAnswers * kLargeAnswer; }));
  const Time answered_at = BootClock::now();
  cr_assert(fixture.Await([&] {
    return BootClock::now() - answered_at > 2 * MemoryBudget::kMinStall;
  }));
  MemoryLease lease(fixture.budget, MemoryUse::kRequests);
  cr_assert(lease.Resize(kNeeded, BootClock::now()));
  const auto answers = static_cast<std::size_t>(MemoryUse::kAnswers);
  cr_assert_eq(fixture.budget->reclaimed()[answers], 1U);
  for (const int caller : callers) {
    ::close(caller);
  }
}

// Guards against a body that never fits and is refused as if it would later.
Test(server_memory, body_that_never_fits_is_too_large) {
  MemoryFixture fixture;
  const auto caller = fixture.Send(Upload("huge", kBudget, 0));
  cr_assert(fixture.Await([&] { return caller->HasReceived("HTTP/1.1 413"); }));
}

// Guards against memory of a connection that is never given back.
Test(server_memory, everything_is_given_back) {
  MemoryFixture fixture;
  {
    const auto caller = fixture.Send(Upload("a", kLargeBody, kLargeBody));
    cr_assert(fixture.Await([&] { return caller->HasReceived("200 OK"); }));
    const auto partial = fixture.Send(Upload("b", kLargeBody, 1'000));
    cr_assert(
        fixture.Await([&] { return fixture.budget->used() > kLargeBody; }));
  }
  cr_assert(fixture.Await([&] { return fixture.budget->used() == 0; }));
}

}  // namespace
}  // namespace pathcleat
