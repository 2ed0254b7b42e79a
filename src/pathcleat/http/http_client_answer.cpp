// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// How HttpClient reads an answer, and what it takes for one.

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/beast/http/error.hpp>
#include <memory>
#include <string>
#include <utility>

#include "pathcleat/http/http_client.hpp"
#include "pathcleat/http/http_codec.hpp"
#include "pathcleat/http/message_framing.hpp"

namespace pathcleat {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr int kMaxMismatchedResponses = 2;
constexpr int kMaxInterimResponses = 16;
constexpr unsigned kFirstStatus = 100;
constexpr unsigned kLastStatus = 599;
constexpr unsigned kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
// How often a client asks whether the peer's machine has taken the request.
constexpr Duration kEndCheckInterval{2'000};
constexpr const char* kNoMemoryDetail = "no memory for the answer";

// An answer with another status belongs to no request. No request asks for
// another protocol.
bool IsUnknownStatus(unsigned status) {
  return status < kFirstStatus || status > kLastStatus ||
         status == kSwitchingProtocols;
}

}  // namespace

void HttpClient::OnResponseBytes() {
  last_progress_at_ = last_byte_at_;
  if (!std::exchange(response_started_, true)) {
    ArmDeadline();
  }
}

void HttpClient::Parse() {
  error_code error;
  while (buffer_.size() > 0 && !parser_->is_done() && !error) {
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
  }
  if (!CheckHead()) {
    return;
  }
  if (error && error != http::error::need_more) {
    RejectUnparsable(error);
    return;
  }
  if (!ReserveAnswer()) {
    Fail(CallOutcome::kConnectionLost, kNoMemoryDetail);
    return;
  }
  if (parser_->is_done()) {
    HandleResponse();
    return;
  }
  if (buffer_.size() >= limits_.max_header_bytes) {
    // The parser keeps the line before a chunk, and all trailers, until they
    // are complete; only the header has a limit of its own.
    RejectAnswer(AnswerFault::kTooLarge,
                 "a chunk line or trailers without end");
    return;
  }
  HandleHead();
  Read();
}

// Ends the call if the head of the answer cannot be understood.
bool HttpClient::CheckHead() {
  if (head_checked_ || !parser_->is_header_done()) {
    return true;
  }
  head_checked_ = true;
  const unsigned status = parser_->get().result_int();
  if (IsUnknownStatus(status)) {
    RejectAnswer(AnswerFault::kUnknownStatus,
                 "an answer with status " + std::to_string(status));
    return false;
  }
  if (HasUnknownFraming(parser_->get())) {
    RejectAnswer(AnswerFault::kUnknownFraming,
                 "an answer with an unknown framing");
    return false;
  }
  return true;
}

bool HttpClient::ReserveAnswer() {
  const std::uint64_t bytes = parser_->get().body().size();
  if (!memory_budget_ || bytes == 0) {
    return true;
  }
  if (!answer_memory_) {
    answer_memory_ =
        std::make_unique<MemoryLease>(memory_budget_, MemoryUse::kAnswers);
  }
  return bytes == answer_memory_->bytes() ||
         answer_memory_->Resize(bytes, last_byte_at_);
}

void HttpClient::HandleHead() {
  if (!on_head_ || !parser_->is_header_done()) {
    return;
  }
  HttpResponse head;
  head.status = static_cast<int>(parser_->get().result_int());
  for (const auto& header : parser_->get()) {
    head.headers.push_back(
        {std::string(header.name_string()), std::string(header.value())});
  }
  if (head.status >= kFirstFinalStatus && (!matcher_ || matcher_(head))) {
    std::exchange(on_head_, nullptr)(head);
  }
}

void HttpClient::HandleResponse() {
  const bool keep_alive = parser_->keep_alive();
  CallResult result;
  result.outcome = CallOutcome::kAnswered;
  result.response = FromBeast(parser_->release(), std::move(answer_memory_));
  if (result.response.status < kFirstFinalStatus) {
    if (++interim_responses_ > kMaxInterimResponses) {
      RejectAnswer(AnswerFault::kTooLarge, "too many interim answers");
      return;
    }
    ReadNextResponse();
    return;
  }
  if (matcher_ && !matcher_(result.response)) {
    must_close_ = true;
    if (++mismatched_responses_ > kMaxMismatchedResponses || !keep_alive) {
      RejectAnswer(AnswerFault::kOtherRequest,
                   "the answer is another request's");
      return;
    }
    ReadNextResponse();
    return;
  }
  keep_alive_timeout_ = KeepAliveTimeout(result.response);
  must_close_ =
      must_close_ || !keep_alive || buffer_.size() > 0 || !request_written_;
  Finish(std::move(result));
}

// Called if the response was interim (1xx) or belonged to another request. The
// first-byte timeout applies again.
void HttpClient::ReadNextResponse() {
  StartParser();
  response_started_ = buffer_.size() > 0;
  ArmDeadline();
  Parse();
}

// The peer has ended the connection, plainly or with a reset.
void HttpClient::OnConnectionEnd(bool is_plain) {
  if (is_plain && parser_->is_header_done() && !parser_->is_done() &&
      parser_->need_eof()) {
    answer_ended_ = true;
    ArmDeadline();
    FinishAnswerAtEnd();
  } else if (parser_->got_some()) {
    RejectAnswer(AnswerFault::kCutOff, "the answer ended early");
  } else {
    Fail(CallOutcome::kConnectionLost, "the connection ended with no answer");
  }
}

// The end of the connection is the end of an answer without a length only if
// the peer has taken the whole request. A peer that breaks off during an upload
// resets the connection, and the read may report a plain end even so: the error
// of a reset goes to whichever of the write and the read asks first.
void HttpClient::FinishAnswerAtEnd() {
  if (write_failed_ || HasSocketError()) {
    RejectAnswer(AnswerFault::kCutOff,
                 "the connection was reset before the request was taken");
    return;
  }
  if (!request_written_) {
    return;
  }
  if (HasUntakenBytes()) {
    ArmTimer(kEndCheckInterval, &HttpClient::OnEndCheck);
    return;
  }
  error_code error;
  parser_->put_eof(error);
  if (error) {
    RejectUnparsable(error);
    return;
  }
  HandleResponse();
}

void HttpClient::OnEndCheck() {
  if (BootClock::now() < total_deadline_) {
    FinishAnswerAtEnd();
  } else {
    OnDeadline();
  }
}

// Reports an error that neither a write nor a read has reported yet.
bool HttpClient::HasSocketError() const {
  int error = 0;
  socklen_t size = sizeof error;
  return ::getsockopt(socket_.native_handle(), SOL_SOCKET, SO_ERROR, &error,
                      &size) == 0 &&
         error != 0;
}

// Whether the peer's machine has not acknowledged all written bytes yet, sent
// or not.
bool HttpClient::HasUntakenBytes() const {
  int bytes = 0;
  return ::ioctl(socket_.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

void HttpClient::RejectAnswer(AnswerFault fault, std::string detail) {
  CallResult result;
  result.outcome = CallOutcome::kConnectionLost;
  result.detail = std::move(detail);
  result.fault = fault;
  EndAsFailed(std::move(result));
}

void HttpClient::RejectUnparsable(const error_code& error) {
  if (error == http::error::buffer_overflow) {
    Fail(CallOutcome::kConnectionLost, kNoMemoryDetail);
    return;
  }
  const bool is_too_large =
      error == http::error::header_limit || error == http::error::body_limit;
  RejectAnswer(is_too_large ? AnswerFault::kTooLarge : AnswerFault::kMalformed,
               error.message());
}

}  // namespace pathcleat
