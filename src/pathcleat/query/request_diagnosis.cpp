// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/query/request_diagnosis.hpp"

#include <algorithm>
#include <set>
#include <sstream>

#include "pathcleat/core/event_field.hpp"
#include "pathcleat/query/send_stage_report.hpp"

namespace pathcleat {
namespace {

constexpr std::uint64_t kMicrosInMillisecond = 1'000;

std::uint64_t MillisecondsBetween(const HybridTime& from,
                                  const HybridTime& until) {
  return until.micros < from.micros
             ? 0
             : (until.micros - from.micros) / kMicrosInMillisecond;
}

const LogLine* LastNamed(const std::vector<LogLine>& lines,
                         const std::string& name) {
  const auto found =
      std::find_if(lines.rbegin(), lines.rend(),
                   [&name](const LogLine& line) { return line.name == name; });
  return found == lines.rend() ? nullptr : &*found;
}

// Adds a cause if another host had applied a newer configuration before this
// host accepted the request.
void CheckStaleConfig(const MergedLog& log,
                      const LogLine& accepted,
                      RequestDiagnosis& diagnosis) {
  const std::int64_t version = accepted.Number(field::kConfigVersion);
  const LogLine* first = nullptr;
  for (const LogLine& line : log.lines) {
    if (line.time > accepted.time) {
      break;
    }
    const bool newer = line.name == "config-applied" &&
                       line.Field("topic") == "routes" &&
                       line.Number(field::kConfigVersion) > version;
    if (newer && first == nullptr) {
      first = &line;
    }
  }
  if (first == nullptr) {
    return;
  }
  std::ostringstream text;
  text << "handled by configuration " << version << " at " << accepted.host
       << ", while " << first->Field(field::kConfigVersion)
       << " had been in force at " << first->host << " for "
       << MillisecondsBetween(first->time, accepted.time) << " ms";
  diagnosis.causes.push_back({RequestCause::kStaleConfig, text.str()});
}

// Adds a cause if a host had logged that the upstream leaves or is gone before
// the request was sent to the upstream.
void CheckLeavingUpstream(const MergedLog& log,
                          const LogLine& sent,
                          RequestDiagnosis& diagnosis) {
  const std::string upstream = sent.Field(field::kUpstream);
  for (const LogLine& line : log.lines) {
    if (line.time > sent.time) {
      return;
    }
    if (SaysUpstreamLeaves(line) && line.Field(field::kUpstream) == upstream) {
      std::ostringstream text;
      text << "sent to " << upstream << ", which " << line.host
           << " had known to be leaving for "
           << MillisecondsBetween(line.time, sent.time) << " ms; " << sent.host
           << " went by list version " << sent.Field(field::kListVersion)
           << ", unchanged there for " << sent.Field(field::kListAgeMs)
           << " ms";
      diagnosis.causes.push_back({RequestCause::kLeavingUpstream, text.str()});
      return;
    }
  }
}

void AddRefusalCause(const LogLine& refused, RequestDiagnosis& diagnosis) {
  const std::string reason = refused.Field(field::kReason);
  std::ostringstream text;
  RequestCause cause = RequestCause::kRefused;
  if (reason == "overloaded" || reason == "too_late") {
    cause = RequestCause::kOverload;
    text << "refused under overload, not run: the best of "
         << refused.Field(field::kCandidates)
         << " upstreams would have kept it waiting "
         << refused.Field(field::kWaitMs) << " ms, its target is "
         << refused.Field(field::kTargetMs) << " ms and it had "
         << refused.Field(field::kLeftMs)
         << " ms left; told to come back after "
         << refused.Field(field::kRetryAfterMs) << " ms";
  } else if (reason == "no_upstream") {
    cause = RequestCause::kNoUpstream;
    text << "refused, not run: no upstream took it";
  } else {
    text << "refused, not run: " << reason;
  }
  diagnosis.causes.push_back({cause, text.str()});
}

void AddLostAnswerCause(const LogLine& unknown, RequestDiagnosis& diagnosis) {
  std::ostringstream text;
  text << "its answer was lost, so it may have run: "
       << unknown.Field(field::kReason);
  if (const LogLine* sent = LastNamed(diagnosis.lines, "request-sent")) {
    text << "; sent to " << sent->Field(field::kUpstream) << " in "
         << sent->Field(field::kDomain) << ", expected after "
         << sent->Field(field::kExpectedMs) << " ms";
  }
  if (const LogLine* failed = LastNamed(diagnosis.lines, "attempt-failed")) {
    text << "; there " << failed->Field(field::kDetail) << " after "
         << failed->Field(field::kElapsedMs) << " ms";
  }
  diagnosis.causes.push_back({RequestCause::kLostAnswer, text.str()});
}

// Adds the cause of a request that was rejected before it was read in full. If
// memory was short, tells what held the memory of that host.
void AddRejectionCause(const MergedLog& log,
                       const LogLine& rejected,
                       RequestDiagnosis& diagnosis) {
  const std::string reason = rejected.Field(field::kReason);
  std::ostringstream text;
  text << "rejected by " << rejected.host << " before it was read in full, not "
       << "run: " << reason;
  const bool lacked_memory = reason == "no_memory" || reason == "stalled";
  const LogLine* shortage = nullptr;
  for (const LogLine& line : log.lines) {
    if (line.name == "memory-used-up" && line.host == rejected.host &&
        (shortage == nullptr || line.time <= rejected.time)) {
      shortage = &line;
    }
  }
  if (lacked_memory && shortage != nullptr) {
    text << "; of " << shortage->Field(field::kLimitBytes)
         << " bytes requests held " << shortage->Field(field::kRequestBytes)
         << ", answers " << shortage->Field(field::kAnswerBytes)
         << ", connections " << shortage->Field(field::kConnectionBytes);
  }
  diagnosis.causes.push_back({RequestCause::kRefused, text.str()});
}

void AddOutcomeCause(const MergedLog& log, RequestDiagnosis& diagnosis) {
  if (const LogLine* refused = LastNamed(diagnosis.lines, "request-refused")) {
    AddRefusalCause(*refused, diagnosis);
  } else if (const LogLine* rejected =
                 LastNamed(diagnosis.lines, "caller-input-rejected")) {
    AddRejectionCause(log, *rejected, diagnosis);
  } else if (const LogLine* lost =
                 LastNamed(diagnosis.lines, "request-unknown")) {
    AddLostAnswerCause(*lost, diagnosis);
  } else if (LastNamed(diagnosis.lines, "caller-left") != nullptr) {
    diagnosis.causes.push_back(
        {RequestCause::kCallerLeft, "its caller closed before the answer"});
  } else if (LastNamed(diagnosis.lines, "request-retried") != nullptr) {
    diagnosis.causes.push_back(
        {RequestCause::kSlow, "answered at the second attempt"});
  } else if (diagnosis.causes.empty()) {
    diagnosis.causes.push_back({RequestCause::kNone, "nothing went wrong"});
  }
}

void AddMissingLogs(const MergedLog& log, RequestDiagnosis& diagnosis) {
  std::set<std::string> logging_hosts;
  std::set<std::string> seen_peers;
  for (const LogLine& line : log.lines) {
    logging_hosts.insert(line.host);
    if (line.name == "peer-heard" || line.name == "peer-silent") {
      seen_peers.insert(line.Field("peer"));
    }
    if (line.name == "log-dropped") {
      diagnosis.missing.push_back(
          line.host + " dropped lines: " + line.Field(field::kDroppedRequests) +
          " of requests, " + line.Field(field::kDroppedFailures) +
          " of failures, " + line.Field(field::kDroppedStates) + " of state");
    }
  }
  for (const std::string& host : seen_peers) {
    if (!logging_hosts.contains(host)) {
      diagnosis.missing.push_back("no line of host " + host);
    }
  }
  if (log.unreadable > 0) {
    diagnosis.missing.push_back(std::to_string(log.unreadable) +
                                " lines are no events");
  }
  if (!diagnosis.lines.empty() &&
      diagnosis.lines.front().name != "request-taken") {
    diagnosis.missing.push_back("the line that took the request");
  }
}

}  // namespace

RequestDiagnosis DiagnoseRequest(const MergedLog& log,
                                 const std::string& request_id) {
  RequestDiagnosis diagnosis;
  for (const LogLine& line : log.lines) {
    if (line.Field("request") == request_id) {
      diagnosis.lines.push_back(line);
    }
  }
  AddMissingLogs(log, diagnosis);
  if (diagnosis.lines.empty()) {
    diagnosis.causes.push_back(
        {RequestCause::kNotLogged,
         "the logs say nothing of it: it went well and was not sampled, "
         "failed beyond the log's rate, or reached none of these hosts"});
    return diagnosis;
  }
  for (const LogLine& line : diagnosis.lines) {
    if (line.name == "request-taken") {
      CheckStaleConfig(log, line, diagnosis);
    } else if (line.name == "request-sent") {
      diagnosis.send_stages.push_back(DescribeSendStages(log, line));
      CheckLeavingUpstream(log, line, diagnosis);
    }
  }
  AddOutcomeCause(log, diagnosis);
  return diagnosis;
}

std::string ToText(const RequestDiagnosis& diagnosis,
                   const std::string& request_id) {
  const std::set<std::string> omitted_fields = {"time",     "code", "name",
                                                "severity", "host", "request"};
  std::ostringstream text;
  text << "request " << request_id << "\n";
  for (const LogLine& line : diagnosis.lines) {
    text << "+" << MillisecondsBetween(diagnosis.lines.front().time, line.time)
         << " ms " << line.host << " " << line.name;
    for (const auto& [name, value] : line.fields) {
      if (!omitted_fields.contains(name)) {
        text << " " << name << "=" << value;
      }
    }
    text << "\n";
  }
  for (const std::string& stages : diagnosis.send_stages) {
    text << "stages: " << stages << "\n";
  }
  for (const DiagnosedCause& cause : diagnosis.causes) {
    text << "cause: " << cause.explanation << "\n";
  }
  for (const std::string& gap : diagnosis.missing) {
    text << "missing: " << gap << "\n";
  }
  return text.str();
}

}  // namespace pathcleat
