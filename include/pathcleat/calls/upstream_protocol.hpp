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

/// @brief The time that a caller says it will wait, if it says one. Zero if it
/// waits no longer (0 or less), a day if it names more than that; what is no
/// number is as good as missing.
/// @ingroup calls
std::optional<Duration> CallerTimeout(const HeaderNames& names,
                                      const HttpRequest& request);

/// @brief Whose a request is, as upstreams are told.
/// @ingroup calls
struct RequestMetadata {
  std::string request_id;
  const Account* account = nullptr;   ///< null: the caller is of none
  bool strips_authorization = false;  ///< callers' keys are of client accounts
  bool repeatable = false;
};

/// @brief The request as an upstream gets it: end-to-end fields, the request
/// id, the account's name, the time left in milliseconds (never a time of day)
/// and the upstream meant. What the caller says of its account is not passed
/// on, nor is its key.
/// @ingroup calls
HttpRequest MakeUpstreamRequest(const HeaderNames& names,
                                const HttpRequest& request,
                                const RequestMetadata& origin,
                                const std::string& upstream_id,
                                Duration left);

/// @brief Tells a request's own answers from others' that arrive late: those
/// with another id. An answer without an id is taken for its own.
/// @ingroup calls
HttpClient::Matcher MakeResponseMatcher(const HeaderNames& names,
                                        const std::string& request_id);

/// @brief The load that an upstream tells in an answer, if it tells any.
/// @ingroup calls
std::optional<LoadReport> ParseLoadReport(const HeaderNames& names,
                                          const HttpResponse& response);

/// @brief What an answer says of a limit of requests a second.
/// @ingroup calls
struct RateLimitHeader {
  bool present = false;
  std::optional<double> per_second;  ///< nothing: what is present is no limit
};

/// @brief The limit that an upstream names in an answer. Of several the lowest
/// holds.
/// @ingroup calls
RateLimitHeader ParseRateLimit(const HeaderNames& names,
                               const HttpResponse& response);

/// @brief Whether the upstream says that it has not run the request.
/// @ingroup calls
bool IsNotRun(const HeaderNames& names, const HttpResponse& response);

/// @brief Whether a success carries what every whole answer carries.
/// @ingroup calls
bool IsCompleteAnswer(const HeaderNames& names, const HttpResponse& response);

/// @brief A refusal that certainly was not run, and when to come back.
/// @ingroup calls
HttpResponse NotRunResponse(const std::string& reason, Duration retry_after);

/// @brief Why requests beyond their account's limit are refused, as logs and
/// metrics tell it.
/// @ingroup calls
inline constexpr const char* kAccountLimitReason = "account_limit";

/// @brief The refusal of a request beyond its account's limit.
/// @ingroup calls
HttpResponse OverLimitResponse(Duration retry_after);

}  // namespace pathcleat
