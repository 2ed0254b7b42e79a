// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/error.hpp"

namespace pathcleat {

const char* ToString(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalid:
      return "invalid";
    case ErrorCode::kRefused:
      return "refused";
    case ErrorCode::kUnreachable:
      return "unreachable";
    case ErrorCode::kUnknown:
      return "unknown";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kRateLimited:
      return "rate-limited";
    case ErrorCode::kUnauthorized:
      return "unauthorized";
    case ErrorCode::kInUse:
      return "in-use";
  }
  return "invalid";
}

std::string ToString(const Error& error) {
  return error.step + " (" + error.peer + "): " + error.detail + " [" +
         ToString(error.code) + "]";
}

}  // namespace pathcleat
