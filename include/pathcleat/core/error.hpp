// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <exception>
#include <string>
#include <utility>

namespace pathcleat {

/// @brief Kind of failure that an Error reports.
/// @ingroup core
enum class ErrorCode {
  kInvalid,       ///< malformed or unexpected input
  kRefused,       ///< valid request that was declined
  kUnreachable,   ///< no part of the request reached the peer
  kUnknown,       ///< the peer may or may not have acted
  kConflict,      ///< another writer made a change first
  kRateLimited,   ///< the peer limits the rate of calls
  kUnauthorized,  ///< credentials missing or wrong
  kInUse,         ///< the port belongs to another socket at present
};

/// @brief A failure, with the operation and the peer that it concerns.
/// @ingroup core
struct Error {
  ErrorCode code = ErrorCode::kInvalid;
  std::string step;    ///< operation that failed, e.g. "read settings"
  std::string peer;    ///< file, address or host that the step used
  std::string detail;  ///< description of the failure, one sentence
};

/// @brief Stable lower-case name of an error code.
/// @ingroup core
const char* ToString(ErrorCode code);

/// @brief Formats an error as "step (peer): detail [code]".
/// @ingroup core
std::string ToString(const Error& error);

/// @brief Result of a call that can fail with an Error.
/// @ingroup core
template <class T>
using Result = boost::leaf::result<T>;

/// @brief Creates a failed Result from an Error.
/// @ingroup core
inline boost::leaf::error_id Fail(Error error) {
  return boost::leaf::new_error(std::move(error));
}

/// @brief Runs @p body and passes its Error to @p handler if it fails. An
/// exception, or a failure without an Error, is passed as kInvalid.
/// @param body callable that returns Result<T>.
/// @param handler callable that takes const Error& and returns T.
/// @ingroup core
template <class Body, class Handler>
auto TryOr(Body&& body, Handler&& handler) {
  return boost::leaf::try_handle_all(
      std::forward<Body>(body),
      [&handler](const Error& error) { return handler(error); },
      [&handler](const std::exception& error) {
        return handler(
            Error{ErrorCode::kInvalid, "unexpected", "", error.what()});
      },
      [&handler] {
        return handler(Error{ErrorCode::kInvalid, "unspecified", "", ""});
      });
}

}  // namespace pathcleat
