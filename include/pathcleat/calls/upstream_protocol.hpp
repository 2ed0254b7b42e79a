// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <optional>
#include <string>

#include "pathcleat/accounts/account.hpp"
#include "pathcleat/calls/header_names.hpp"
#include "pathcleat/core/time.hpp"
#include "pathcleat/http/http_client.hpp"
#include "pathcleat/http/http_message.hpp"
#include "pathcleat/routing/upstream_load.hpp"

namespace pathcleat {

/// @brief The time that a caller will wait for its answer, if the request
/// states one. Zero for values of 0 or less, a day for values above a day; text
/// that is not a number counts as missing.
/// @ingroup calls
std::optional<Duration> CallerTimeout(const HeaderNames& names,
                                      const HttpRequest& request);

/// @brief Metadata of a request: determines which header fields the upstream
/// receives and whether the request may be sent again.
/// @ingroup calls
struct RequestMetadata {
  std::string request_id;
  const Account* account = nullptr;   ///< null if the caller has no account
  bool strips_authorization = false;  ///< the header holds an API key
  bool repeatable = false;
};

/// @brief Makes the request for an upstream: end-to-end fields, the request id,
/// the account's name, the time left in milliseconds (a duration, not a time of
/// day) and the id of the upstream that the request is for. The account that
/// the caller states and the API key are not passed on.
/// @ingroup calls
HttpRequest MakeUpstreamRequest(const HeaderNames& names,
                                const HttpRequest& request,
                                const RequestMetadata& metadata,
                                const std::string& upstream_id,
                                Duration left);

/// @brief Makes a predicate that accepts the answers to one request and rejects
/// late answers to other requests, which carry another request id. An answer
/// without an id is accepted.
/// @ingroup calls
HttpClient::Matcher MakeResponseMatcher(const HeaderNames& names,
                                        const std::string& request_id);

/// @brief Parses the load that an upstream reports in an answer, if any.
/// @ingroup calls
std::optional<LoadReport> ParseLoadReport(const HeaderNames& names,
                                          const HttpResponse& response);

/// @brief The rate limit header of an answer.
/// @ingroup calls
struct RateLimitHeader {
  bool present = false;
  std::optional<double> per_second;  ///< none if absent or invalid
};

/// @brief Parses the rate limit that an upstream states in an answer. If the
/// answer has several such headers, the lowest valid limit applies.
/// @ingroup calls
RateLimitHeader ParseRateLimit(const HeaderNames& names,
                               const HttpResponse& response);

/// @brief The Retry-After header of an answer.
/// @ingroup calls
struct RetryAfterHeader {
  bool present = false;
  std::optional<Duration> delay;  ///< none if absent or invalid
};

/// @brief Parses how long an upstream that rejects a request (status 503) wants
/// no requests from this host. Valid are finite numbers of seconds from 0, also
/// with a fraction. If the answer has several such headers, the longest valid
/// time applies. Answers with another status are not read: a Retry-After of
/// status 429 concerns the caller.
/// @ingroup calls
RetryAfterHeader ParseRetryAfter(const HttpResponse& response);

/// @brief Whether the upstream states that it is about to stop.
/// @ingroup calls
bool IsLeaving(const HeaderNames& names, const HttpResponse& response);

/// @brief Whether an answer with this status says that the upstream could not
/// serve the request, rather than what the caller asked for.
/// @ingroup calls
bool IsErrorStatus(int status);

/// @brief Whether the upstream states that it has not run the request.
/// @ingroup calls
bool IsNotRun(const HeaderNames& names, const HttpResponse& response);

/// @brief Whether the answer is complete: a success must carry the signature
/// header, if one is configured; any other status counts as complete.
/// @ingroup calls
bool IsCompleteAnswer(const HeaderNames& names, const HttpResponse& response);

/// @brief Makes the refusal of a request that certainly did not run, with the
/// delay before a retry.
/// @ingroup calls
HttpResponse NotRunResponse(const std::string& reason, Duration retry_after);

/// @brief The reason that answers, logs and metrics state for the refusal of a
/// request beyond its account's limit.
/// @ingroup calls
inline constexpr const char* kAccountLimitReason = "account_limit";

/// @brief Makes the refusal of a request beyond its account's limit.
/// @ingroup calls
HttpResponse OverLimitResponse(Duration retry_after);

}  // namespace pathcleat
