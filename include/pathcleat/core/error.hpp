// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <exception>
#include <string>
#include <utility>

namespace pathcleat {

/// @brief What kind of failure an Error reports.
/// @ingroup core
enum class ErrorCode {
  kInvalid,       ///< input that cannot be understood
  kRefused,       ///< understood, and declined
  kUnreachable,   ///< the peer got nothing of it
  kUnknown,       ///< the peer may or may not have acted
  kConflict,      ///< somebody else was first
  kRateLimited,   ///< the peer asks for fewer calls
  kUnauthorized,  ///< proof of identity missing or wrong
};

/// @brief A failure with the step and the peer at which it arose.
/// @ingroup core
struct Error {
  ErrorCode code = ErrorCode::kInvalid;
  std::string step;    ///< what was being done, e.g. "read settings"
  std::string peer;    ///< file, address or host it was done with
  std::string detail;  ///< plain sentence
};

/// @brief Stable lower-case name of a code.
/// @ingroup core
const char* ToString(ErrorCode code);

/// @brief "step (peer): detail [code]".
/// @ingroup core
std::string ToString(const Error& error);

/// @brief Result of a call that can fail with an Error.
/// @ingroup core
template <class T>
using Result = boost::leaf::result<T>;

/// @brief Makes the failed Result.
/// @ingroup core
inline boost::leaf::error_id Fail(Error error) {
  return boost::leaf::new_error(std::move(error));
}

/// @brief Runs @p body and gives its Error to @p handler if it fails.
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
