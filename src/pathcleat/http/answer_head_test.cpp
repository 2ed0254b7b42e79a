// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Answers whose head cannot be understood.

#include "pathcleat/http/http_client.hpp"

#include <criterion/criterion.h>

#include <memory>
#include <optional>
#include <string>

#include "event_loop.hpp"
#include "scripted_server.hpp"

namespace pathcleat {
namespace {

constexpr Duration kTimeout{60'000'000};
constexpr const char* kNextAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext";

struct Reply {
  CallResult result;
  bool is_reusable = false;
};

// What a client makes of these bytes; the server keeps its connection open.
Reply Receive(const std::string& bytes) {
  boost::asio::io_context loop{1};
  ScriptedServer server(loop, UniqueLoopbackAddress());
  const auto client =
      std::make_shared<HttpClient>(loop, server.endpoint(), HttpLimits());
  std::optional<CallResult> result;
  client->Send({"GET", "/", {{"Host", "test"}}, ""}, {kTimeout, kTimeout},
               [&](const CallResult& call_result) { result = call_result; });
  cr_assert(WaitUntil(loop, [&] { return server.HasReceived("\r\n\r\n"); }));
  server.Send(bytes);
  cr_assert(WaitUntil(loop, [&] { return result.has_value(); }));
  return {*result, client->IsReusable()};
}

void ExpectBroken(const std::string& bytes,
                  std::optional<AnswerFault> fault = std::nullopt) {
  const Reply reply = Receive(bytes);
  cr_expect(reply.result.fault.has_value(), "%s", bytes.c_str());
  cr_expect(reply.result.outcome == CallOutcome::kConnectionLost, "%s",
            bytes.c_str());
  cr_expect(!fault || reply.result.fault == fault, "%s", bytes.c_str());
  cr_expect_not(reply.is_reusable, "%s", bytes.c_str());
}

// Guards against a status that is none and is taken for an interim answer, so
// that the bytes after it, or nothing until the deadline, are the answer, and
// against one that is passed on to a caller.
Test(answer_head, status_outside_of_100_to_599_is_no_answer) {
  for (const std::string status : {"000", "001", "099", "600", "700", "999"}) {
    const std::string line = "HTTP/1.1 " + status + " Text\r\n";
    for (const std::string rest :
         {std::string("\r\n"), std::string("Content-Length: 4\r\n\r\nbody"),
          std::string("Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
          std::string("\r\n") + kNextAnswer}) {
      ExpectBroken(line + rest, AnswerFault::kUnknownStatus);
    }
  }
}

// Guards against an answer in another protocol, which nobody asked for.
Test(answer_head, switch_of_protocols_is_no_answer) {
  ExpectBroken(std::string("HTTP/1.1 101 Switching Protocols\r\n"
                           "Upgrade: other\r\nConnection: Upgrade\r\n\r\n") +
                   kNextAnswer,
               AnswerFault::kUnknownStatus);
}

Test(answer_head, unusual_statuses_are_answers) {
  for (const int status : {200, 299, 399, 418, 451, 499, 599}) {
    const Reply reply = Receive("HTTP/1.1 " + std::to_string(status) +
                                " Text\r\nContent-Length: 4\r\n\r\nbody");
    cr_expect(reply.result.outcome == CallOutcome::kAnswered);
    cr_expect_eq(reply.result.response.status, status);
    cr_expect(reply.is_reusable);
  }
}

Test(answer_head, interim_answers_are_passed_over) {
  const Reply reply =
      Receive(std::string("HTTP/1.1 100 Continue\r\n\r\n"
                          "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
                          "HTTP/1.1 199 Text\r\n\r\n") +
              kNextAnswer);
  cr_assert(reply.result.outcome == CallOutcome::kAnswered);
  cr_assert_eq(reply.result.response.body, std::string("next"));
}

// Guards against a body that is passed on in a coding that the host does not
// understand, up to the end of the connection or without its coding.
Test(answer_head, unknown_transfer_coding_is_no_answer) {
  for (const std::string coding :
       {"gzip", "identity", "gzip, chunked", "chunked, gzip",
        "chunked, chunked", "chunked;a=b", "xchunked", "\"chunked\"", ""}) {
    const std::string line =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n";
    ExpectBroken(line + "\r\nbody", AnswerFault::kUnknownFraming);
    ExpectBroken(line + "\r\n4\r\nbody\r\n0\r\n\r\n",
                 AnswerFault::kUnknownFraming);
    ExpectBroken(line + "Content-Length: 4\r\n\r\nbody");
    ExpectBroken(line +
                 "Transfer-Encoding: chunked\r\n\r\n"
                 "4\r\nbody\r\n0\r\n\r\n");
  }
}

Test(answer_head, chunked_answer_is_understood_in_any_case) {
  for (const std::string coding : {"chunked", "Chunked", "CHUNKED"}) {
    const Reply reply =
        Receive("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding +
                "\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    cr_assert(reply.result.outcome == CallOutcome::kAnswered);
    cr_assert_eq(reply.result.response.body, std::string("body"));
    cr_assert(reply.is_reusable);
  }
}

}  // namespace
}  // namespace pathcleat
