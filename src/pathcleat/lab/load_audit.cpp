// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/lab/load_audit.hpp"

#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace pathcleat {

Result<LoadAudit> AuditLoad(const LoadGenerator& load,
                            const std::string& ledger_json) {
  const auto ledger = nlohmann::json::parse(ledger_json, nullptr, false);
  if (!ledger.is_object() || !ledger.contains("runs_by_id")) {
    return Fail({ErrorCode::kInvalid, "read ledger", "upstream stand-ins",
                 "no JSON object with \"runs_by_id\""});
  }
  LoadAudit audit;
  audit.upstreams_over_slots = ledger["over_slots"].get<int>();
  audit.rejected = ledger["turned_away"].get<int>();
  for (const auto& [key, runs] : ledger["runs_by_key"].items()) {
    audit.duplicate_runs += runs.get<int>() > 1 ? 1 : 0;
  }
  const auto& runs_by_id = ledger["runs_by_id"];
  for (const LoadRecord& record : load.records()) {
    const bool ran = runs_by_id.contains(record.run_id);
    audit.false_not_run += record.reported_not_run && ran ? 1 : 0;
  }
  for (const auto& [kind, counts] : load.counts()) {
    audit.corrupt_answers += counts.corrupt_answers;
  }
  return audit;
}

std::string ReportLoad(const LoadGenerator& load, const LoadAudit& audit) {
  constexpr double kMedian = 0.5;
  constexpr double kTail = 0.99;
  std::ostringstream text;
  text << std::fixed << std::setprecision(1);
  for (const auto& [kind, counts] : load.counts()) {
    text << kind << ": sent " << counts.sent << ", answered " << counts.answered
         << ", not-run " << counts.not_run << ", unknown " << counts.unknown
         << ", connection lost " << counts.connection_lost << ", tries cut "
         << counts.cut_tries << ", kept connections ended "
         << counts.cut_kept_tries << ", p50 "
         << Quantile(counts.latency_ms, kMedian) << " ms, p99 "
         << Quantile(counts.latency_ms, kTail) << " ms, refused p99 "
         << Quantile(counts.refusal_ms, kTail) << " ms\n";
  }
  text << "keys run more than once " << audit.duplicate_runs
       << ", reported not-run but run " << audit.false_not_run
       << ", upstreams over slots " << audit.upstreams_over_slots
       << ", rejected by upstreams " << audit.rejected << ", corrupt answers "
       << audit.corrupt_answers << "\n";
  return text.str();
}

}  // namespace pathcleat
