// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <optional>
#include <string>

#include "pathcleat/core/time.hpp"
#include "pathcleat/gateway/header_names.hpp"
#include "pathcleat/http/http_client.hpp"
#include "pathcleat/http/http_message.hpp"
#include "pathcleat/routing/upstream_load.hpp"

namespace pathcleat {

/// @brief The time that a caller says it will wait, if it says one. Zero if it
/// waits no longer (0 or less), a day if it names more than that; what is no
/// number is as good as missing.
/// @ingroup gateway
std::optional<Duration> CallerDeadline(const HeaderNames& names,
                                       const HttpRequest& request);

/// @brief The request as an upstream gets it: end-to-end fields, the request
/// id, the time left in milliseconds (never a time of day) and the upstream
/// meant.
/// @ingroup gateway
HttpRequest ToUpstream(const HeaderNames& names,
                       const HttpRequest& request,
                       const std::string& request_id,
                       const std::string& upstream_id,
                       Duration left);

/// @brief Tells a request's own answers from others' that arrive late: those
/// with another id. An answer without an id is taken for its own.
/// @ingroup gateway
HttpClient::Matcher AnswersOf(const HeaderNames& names,
                              const std::string& request_id);

/// @brief The load that an upstream tells in an answer, if it tells any.
/// @ingroup gateway
std::optional<LoadReport> LoadReportIn(const HeaderNames& names,
                                       const HttpResponse& response);

/// @brief Whether the upstream says that it has not run the request.
/// @ingroup gateway
bool IsNotRun(const HeaderNames& names, const HttpResponse& response);

/// @brief Whether a success carries what every whole answer carries.
/// @ingroup gateway
bool IsWholeAnswer(const HeaderNames& names, const HttpResponse& response);

/// @brief A refusal that certainly was not run, and when to come back.
/// @ingroup gateway
HttpResponse NotRunResponse(const std::string& reason, Duration retry_after);

}  // namespace pathcleat
