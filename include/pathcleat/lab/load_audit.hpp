// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>
#include <vector>

#include "pathcleat/core/error.hpp"
#include "pathcleat/lab/load_generator.hpp"

namespace pathcleat {

/// @brief Faults found by comparing the answers of callers with the runs of the
/// upstreams.
/// @ingroup lab
struct LoadAudit {
  int duplicate_runs = 0;  ///< idempotency keys that ran more than once
  int false_not_run = 0;   ///< tries that ran although reported as "not-run"
  int upstreams_over_slots =
      0;             ///< upstreams with more runs at a time than slots
  int rejected = 0;  ///< requests that an upstream rejected
  int corrupt_answers =
      0;  ///< answers that are incomplete or of another request
};

/// @brief Compares the records of a load with the ledger of the upstreams.
/// @param ledger_json as the control port of UpstreamFarm returns it.
/// @return kInvalid if the ledger cannot be read.
/// @ingroup lab
Result<LoadAudit> AuditLoad(const LoadGenerator& load,
                            const std::string& ledger_json);

/// @brief Formats the results of a load as text: one line per kind of request,
/// followed by the audit.
/// @ingroup lab
std::string ReportLoad(const LoadGenerator& load, const LoadAudit& audit);

}  // namespace pathcleat
