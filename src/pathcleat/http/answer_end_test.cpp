// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Answers without a length, which end with their connection.

#include "pathcleat/http/http_client.hpp"

#include <criterion/criterion.h>

#include <memory>
#include <optional>
#include <string>

#include "event_loop.hpp"
#include "scripted_server.hpp"

namespace pathcleat {
namespace {

constexpr Duration kLongTimeout{60'000'000};
constexpr std::size_t kUploadBytes = 8UL * 1024 * 1024;
constexpr int kTries = 20;
constexpr std::size_t kBeginning = 1'000;
constexpr const char* kPartOfAnswer = "HTTP/1.1 200 OK\r\n\r\npart";
constexpr const char* kPartOfFailure =
    "HTTP/1.1 500 Internal Server Error\r\n\r\npart";

// A client that uploads to a server which reads only the beginning.
struct UploadFixture {
  boost::asio::io_context loop{1};
  ScriptedServer server{loop, UniqueLoopbackAddress()};
  HttpClientPtr client =
      std::make_shared<HttpClient>(loop, server.endpoint(), HttpLimits());
  std::optional<CallResult> result;

  void Upload(std::size_t bytes, const CallTimeouts& timeouts) {
    client->Send(
        {"POST", "/", {{"Host", "test"}}, std::string(bytes, 'u')}, timeouts,
        [this](const CallResult& call_result) { result = call_result; });
    cr_assert(Await([this] { return server.HasReceived("\r\n\r\n"); }));
  }
  void Upload(std::size_t bytes) {
    Upload(bytes, {kLongTimeout, kLongTimeout});
  }
  bool Await(const std::function<bool()>& condition) {
    return WaitUntil(loop, condition);
  }
  void RunFor(std::chrono::milliseconds duration) {
    loop.restart();
    loop.run_for(duration);
  }
  CallResult AwaitEnd() {
    cr_assert(Await([this] { return result.has_value(); }));
    return *result;
  }
};

// How a server that has sent part of its answer ends the connection.
using Ending = void (*)(UploadFixture&);

void Reset(UploadFixture& fixture) {
  fixture.server.Reset();
}

void CloseUnread(UploadFixture& fixture) {
  fixture.server.Close();
}

// As a process does that ends between two reads: its machine ends the answer,
// and resets the connection once more of the request arrives.
void HalfCloseAndReset(UploadFixture& fixture) {
  constexpr std::chrono::milliseconds kDelay{20};
  fixture.server.HalfClose();
  fixture.RunFor(kDelay);
  fixture.server.Reset();
}

// One way in which a server breaks off during an upload.
struct BrokenOff {
  const char* name;
  std::size_t upload_bytes = kUploadBytes;
  std::size_t read_bytes = kBeginning;
  const char* answer = kPartOfAnswer;
  Ending ending = Reset;
};

void ExpectNoAnswer(const BrokenOff& broken_off) {
  int accepted = 0;
  for (int i = 0; i < kTries; ++i) {
    UploadFixture fixture;
    fixture.server.ReadAtMost(broken_off.read_bytes);
    fixture.server.SetReceiveBuffer(4 * 1024);
    fixture.Upload(broken_off.upload_bytes);
    cr_assert(fixture.Await([&] {
      return fixture.server.received_bytes() == broken_off.read_bytes;
    }));
    fixture.server.Send(broken_off.answer);
    broken_off.ending(fixture);
    const CallResult result = fixture.AwaitEnd();
    accepted += result.outcome == CallOutcome::kAnswered ? 1 : 0;
  }
  cr_expect_eq(accepted, 0, "%s: %d of %d", broken_off.name, accepted, kTries);
}

// Guards against part of an answer that is taken for a whole one, as the write
// of the request got the error of the reset and the read a plain end.
Test(answer_end, answer_that_is_reset_during_an_upload_is_lost) {
  constexpr std::size_t kEighth = kUploadBytes / 8;
  ExpectNoAnswer({.name = "reset"});
  ExpectNoAnswer({.name = "close", .ending = CloseUnread});
  ExpectNoAnswer({.name = "reset, an eighth read", .read_bytes = kEighth});
  ExpectNoAnswer({.name = "close, an eighth read",
                  .read_bytes = kEighth,
                  .ending = CloseUnread});
  ExpectNoAnswer({.name = "failure, reset", .answer = kPartOfFailure});
  ExpectNoAnswer({.name = "failure, close",
                  .answer = kPartOfFailure,
                  .ending = CloseUnread});
}

// Guards against an answer that ends before a reset of its connection and is
// taken for a whole one while the peer has not taken the whole request.
Test(answer_end, answer_that_ends_before_a_reset_during_an_upload_is_lost) {
  ExpectNoAnswer({.name = "upload", .ending = HalfCloseAndReset});
}

// Guards against taking a request for received that only fits into the buffers
// of this machine.
Test(answer_end, answer_that_ends_before_a_reset_of_a_buffered_upload_is_lost) {
  ExpectNoAnswer({.name = "buffered upload",
                  .upload_bytes = 64UL * 1024,
                  .ending = HalfCloseAndReset});
}

// Guards against the loss of an early answer of a server that closes its side
// and reads the upload to its end.
Test(answer_end, early_answer_is_heard_once_the_upload_was_taken) {
  for (const int status : {200, 413}) {
    for (int i = 0; i < kTries; ++i) {
      UploadFixture fixture;
      fixture.Upload(kUploadBytes);
      fixture.server.Send("HTTP/1.1 " + std::to_string(status) +
                          " Early\r\n\r\nwhole");
      fixture.server.HalfClose();
      const CallResult result = fixture.AwaitEnd();
      cr_assert(result.outcome == CallOutcome::kAnswered);
      cr_assert_eq(result.response.status, status);
      cr_assert_eq(result.response.body, std::string("whole"));
    }
  }
}

// Guards against the progress timeout of an answer that has ended while its
// server still reads the upload.
Test(answer_end, progress_timeout_does_not_apply_once_the_answer_has_ended) {
  constexpr Duration kShortTimeout{100'000};
  UploadFixture fixture;
  fixture.server.ReadAtMost(1'000);
  fixture.Upload(kUploadBytes,
                 {kLongTimeout, kShortTimeout * 10, kNoTimeout, kShortTimeout});
  fixture.server.Send(kPartOfAnswer);
  fixture.server.HalfClose();
  const Time started_at = BootClock::now();
  const CallResult result = fixture.AwaitEnd();
  cr_assert(result.outcome == CallOutcome::kTimedOut);
  cr_assert_not(result.connection_silent);
  cr_assert_geq((BootClock::now() - started_at).count(),
                (kShortTimeout * 5).count());
}

// Guards against the loss of an ordinary answer without a length, and against a
// connection that has ended and is offered to the next request.
Test(answer_end, answer_without_length_ends_with_its_connection) {
  UploadFixture fixture;
  fixture.Upload(10);
  cr_assert(
      fixture.Await([&] { return fixture.server.HasReceived("uuuuuuuuuu"); }));
  fixture.server.Send("HTTP/1.1 200 OK\r\n\r\nwhole");
  fixture.server.Close();
  const CallResult result = fixture.AwaitEnd();
  cr_assert(result.outcome == CallOutcome::kAnswered);
  cr_assert_eq(result.response.body, std::string("whole"));
  cr_assert_not(fixture.client->IsReusable());
}

// Guards against part of an answer to a request that was written whole, whose
// connection is reset.
Test(answer_end, answer_that_is_reset_after_the_request_is_lost) {
  UploadFixture fixture;
  fixture.Upload(10);
  fixture.server.Send(kPartOfAnswer);
  fixture.server.Reset();
  cr_assert(fixture.AwaitEnd().outcome == CallOutcome::kConnectionLost);
}

}  // namespace
}  // namespace pathcleat
