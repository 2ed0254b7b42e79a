// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/http/rejection.hpp"

#include "pathcleat/http/http_status.hpp"

namespace pathcleat {
namespace {

// Retry time for callers of evicted connections. One second is enough: partial
// requests and idle connections are evicted at once, and requests in progress
// take seconds at most.
constexpr const char* kRetryAfterSeconds = "1";

const char* TextOf(RejectionCause cause) {
  switch (cause) {
    case RejectionCause::kTooManyConnections:
      return "not run: too many connections\n";
    case RejectionCause::kNoMemory:
    case RejectionCause::kStalled:
      return "not run: no memory for the request\n";
    default:
      return "request not accepted\n";
  }
}

}  // namespace

const char* ToString(RejectionCause cause) {
  switch (cause) {
    case RejectionCause::kMalformed:
      return "malformed";
    case RejectionCause::kHeaderTooLarge:
      return "header_too_large";
    case RejectionCause::kBodyTooLarge:
      return "body_too_large";
    case RejectionCause::kTimedOut:
      return "timed_out";
    case RejectionCause::kTooManyConnections:
      return "too_many_connections";
    case RejectionCause::kNoMemory:
      return "no_memory";
    case RejectionCause::kStalled:
      return "stalled";
    case RejectionCause::kUnreadAnswer:
      return "unread_answer";
  }
  return "";
}

int StatusOf(RejectionCause cause) {
  switch (cause) {
    case RejectionCause::kMalformed:
      return http_status::kBadRequest;
    case RejectionCause::kHeaderTooLarge:
      return http_status::kHeaderTooLarge;
    case RejectionCause::kBodyTooLarge:
      return http_status::kPayloadTooLarge;
    case RejectionCause::kTimedOut:
      return http_status::kRequestTimeout;
    case RejectionCause::kTooManyConnections:
    case RejectionCause::kNoMemory:
    case RejectionCause::kStalled:
      return http_status::kUnavailable;
    case RejectionCause::kUnreadAnswer:
      return 0;
  }
  return 0;
}

HttpResponse ResponseTo(RejectionCause cause) {
  HttpResponse response = TextResponse(StatusOf(cause), TextOf(cause));
  if (response.status == http_status::kUnavailable) {
    response.headers.push_back({"Retry-After", kRetryAfterSeconds});
  }
  return response;
}

}  // namespace pathcleat
