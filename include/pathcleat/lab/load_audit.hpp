// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>
#include <vector>

#include "pathcleat/core/error.hpp"
#include "pathcleat/lab/load_generator.hpp"

namespace pathcleat {

/// @brief Broken promises found by comparing what callers were told with what
/// upstreams ran.
/// @ingroup lab
struct LoadAudit {
  int duplicate_runs = 0;        ///< keys that ran more than once
  int false_not_run = 0;         ///< tries told "not run" that ran
  int upstreams_over_slots = 0;  ///< upstreams that ran more than their slots
  int rejected = 0;              ///< requests that an upstream did not run
  int corrupt_answers = 0;       ///< answers not whole or not the caller's own
};

/// @brief Compares a load's records with the upstreams' ledger.
/// @param ledger_json as UpstreamFarm's control port gives it.
/// @return kInvalid if the ledger cannot be read.
/// @ingroup lab
Result<LoadAudit> AuditLoad(const LoadGenerator& load,
                            const std::string& ledger_json);

/// @brief A load's figures as text, one kind a line, and the audit.
/// @ingroup lab
std::string ReportLoad(const LoadGenerator& load, const LoadAudit& audit);

}  // namespace pathcleat
