// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/http/answer_fault.hpp"

namespace pathcleat {

const char* ToString(AnswerFault fault) {
  switch (fault) {
    case AnswerFault::kMalformed:
      return "malformed";
    case AnswerFault::kUnknownStatus:
      return "unknown_status";
    case AnswerFault::kUnknownFraming:
      return "unknown_framing";
    case AnswerFault::kTooLarge:
      return "too_large";
    case AnswerFault::kCutOff:
      return "cut_off";
    case AnswerFault::kOtherRequest:
      return "other_request";
    case AnswerFault::kUnsigned:
      return "unsigned";
  }
  return "";
}

}  // namespace pathcleat
