// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

namespace pathcleat {

/// @brief Why an answer that had begun to arrive cannot be used. The request
/// may have run.
/// @ingroup http
enum class AnswerFault {
  kMalformed,       ///< the bytes are no HTTP answer
  kUnknownStatus,   ///< the status is none, or switches the protocol
  kUnknownFraming,  ///< it is not clear where the body ends
  kTooLarge,        ///< longer than this host reads
  kCutOff,          ///< the connection ended or was reset before its end
  kOtherRequest,    ///< the answer belongs to another request
  kUnsigned,        ///< a success without the signature of its upstream
};

/// @brief The name of the fault in logs and metrics.
const char* ToString(AnswerFault fault);

}  // namespace pathcleat
