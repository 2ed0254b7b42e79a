// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>
#include <vector>

#include "pathcleat/query/log_line.hpp"

namespace pathcleat {

/// @brief Why a request went as it did.
/// @ingroup query
enum class RequestCause {
  kNotLogged,        ///< the logs say nothing of it
  kNone,             ///< it was answered, and nothing looks wrong
  kStaleConfig,      ///< another host had a newer configuration in force
  kLeavingUpstream,  ///< another host knew that the upstream leaves
  kOverload,         ///< refused: it would have waited too long
  kNoUpstream,       ///< refused: no upstream would have it
  kRefused,          ///< refused for another reason
  kLostAnswer,       ///< it may have run, and its answer did not come
  kCallerLeft,       ///< its caller closed before the answer
  kSlow,             ///< answered, after a wait or a retry
};

/// @brief One cause, said in a sentence with the inputs that decided it.
/// @ingroup query
struct DiagnosedCause {
  RequestCause cause = RequestCause::kNone;
  std::string explanation;
};

/// @brief A request's way through the fleet, from logs alone.
/// @ingroup query
struct RequestDiagnosis {
  std::vector<LogLine> lines;          ///< its own, in order
  std::vector<DiagnosedCause> causes;  ///< the first explains the others
  std::vector<std::string> missing;    ///< what the logs do not hold
};

/// @brief Tells what befell a request and why.
/// @param log of as many hosts as there are, sorted by time.
/// @ingroup query
RequestDiagnosis DiagnoseRequest(const MergedLog& log,
                                 const std::string& request_id);

/// @brief A story as an operator reads it.
/// @ingroup query
std::string ToText(const RequestDiagnosis& story,
                   const std::string& request_id);

}  // namespace pathcleat
