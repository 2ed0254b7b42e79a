// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>
#include <vector>

#include "pathcleat/query/log_line.hpp"

namespace pathcleat {

/// @brief Causes that explain the course of a request.
/// @ingroup query
enum class RequestCause {
  kNotLogged,  ///< the logs have no event of the request
  kNone,       ///< the request was answered without a detected problem
  /// Another host had applied a newer configuration before this host accepted
  /// the request.
  kStaleConfig,
  /// A host had logged that the upstream was leaving or gone before the request
  /// was sent to the upstream.
  kLeavingUpstream,
  kOverload,    ///< refused: the expected wait was too long
  kNoUpstream,  ///< refused: no upstream accepted the request
  kRefused,     ///< refused for another reason
  kLostAnswer,  ///< the request may have run, and its answer was lost
  kCallerLeft,  ///< the caller disconnected before the answer
  kSlow,        ///< answered at the second attempt
};

/// @brief One cause, with a one-sentence explanation that includes the inputs
/// of the decision.
/// @ingroup query
struct DiagnosedCause {
  RequestCause cause = RequestCause::kNone;
  std::string explanation;
};

/// @brief Course of a request through the fleet, derived from logs alone.
/// @ingroup query
struct RequestDiagnosis {
  std::vector<LogLine> lines;  ///< events of the request, by time
  /// The stages of each send of the request.
  std::vector<std::string> send_stages;
  std::vector<DiagnosedCause> causes;  ///< root cause first
  std::vector<std::string> missing;    ///< gaps found in the logs
};

/// @brief Finds the events of a request and the causes of its outcome.
/// @param log logs of as many hosts as possible, sorted by time.
/// @ingroup query
RequestDiagnosis DiagnoseRequest(const MergedLog& log,
                                 const std::string& request_id);

/// @brief Formats a diagnosis for operators.
/// @ingroup query
std::string ToText(const RequestDiagnosis& diagnosis,
                   const std::string& request_id);

}  // namespace pathcleat
