// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/query/request_diagnosis.hpp"

#include <algorithm>
#include <set>
#include <sstream>

#include "pathcleat/core/event_field.hpp"

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

// A newer configuration was in force elsewhere when the request was taken.
void FindOldConfig(const MergedLog& log,
                   const LogLine& taken,
                   RequestDiagnosis& story) {
  const std::int64_t version = taken.Number(field::kConfigVersion);
  const LogLine* first = nullptr;
  for (const LogLine& line : log.lines) {
    if (line.time > taken.time) {
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
  text << "handled by configuration " << version << " at " << taken.host
       << ", while " << first->Field(field::kConfigVersion)
       << " had been in force at " << first->host << " for "
       << MillisecondsBetween(first->time, taken.time) << " ms";
  story.causes.push_back({RequestCause::kStaleConfig, text.str()});
}

// An upstream was known to leave elsewhere when the request was sent there.
void FindLeaving(const MergedLog& log,
                 const LogLine& sent,
                 RequestDiagnosis& story) {
  const std::string upstream = sent.Field(field::kUpstream);
  for (const LogLine& line : log.lines) {
    if (line.time > sent.time) {
      return;
    }
    const bool leaving =
        line.name == "upstream-leaving" || line.name == "upstream-gone";
    if (leaving && line.Field(field::kUpstream) == upstream) {
      std::ostringstream text;
      text << "sent to " << upstream << ", which " << line.host
           << " had known to be leaving for "
           << MillisecondsBetween(line.time, sent.time) << " ms; " << sent.host
           << " went by list version " << sent.Field(field::kListVersion)
           << ", unchanged there for " << sent.Field(field::kListAgeMs)
           << " ms";
      story.causes.push_back({RequestCause::kLeavingUpstream, text.str()});
      return;
    }
  }
}

void FindRefusal(const LogLine& refused, RequestDiagnosis& story) {
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
  story.causes.push_back({cause, text.str()});
}

void FindLostAnswer(const LogLine& unknown, RequestDiagnosis& story) {
  std::ostringstream text;
  text << "its answer was lost, so it may have run: "
       << unknown.Field(field::kReason);
  if (const LogLine* sent = LastNamed(story.lines, "request-sent")) {
    text << "; sent to " << sent->Field(field::kUpstream) << " in "
         << sent->Field(field::kDomain) << ", expected after "
         << sent->Field(field::kExpectedMs) << " ms";
  }
  if (const LogLine* failed = LastNamed(story.lines, "attempt-failed")) {
    text << "; there " << failed->Field(field::kDetail) << " after "
         << failed->Field(field::kElapsedMs) << " ms";
  }
  story.causes.push_back({RequestCause::kLostAnswer, text.str()});
}

void FindEnd(RequestDiagnosis& story) {
  if (const LogLine* refused = LastNamed(story.lines, "request-refused")) {
    FindRefusal(*refused, story);
  } else if (const LogLine* lost = LastNamed(story.lines, "request-unknown")) {
    FindLostAnswer(*lost, story);
  } else if (LastNamed(story.lines, "caller-left") != nullptr) {
    story.causes.push_back(
        {RequestCause::kCallerLeft, "its caller closed before the answer"});
  } else if (LastNamed(story.lines, "request-retried") != nullptr) {
    story.causes.push_back(
        {RequestCause::kSlow, "answered at the second attempt"});
  } else if (story.causes.empty()) {
    story.causes.push_back({RequestCause::kNone, "nothing went wrong"});
  }
}

void FindMissing(const MergedLog& log, RequestDiagnosis& story) {
  std::set<std::string> writers;
  std::set<std::string> named;
  for (const LogLine& line : log.lines) {
    writers.insert(line.host);
    if (line.name == "peer-heard" || line.name == "peer-silent") {
      named.insert(line.Field("peer"));
    }
    if (line.name == "log-dropped") {
      story.missing.push_back(
          line.host + " dropped lines: " + line.Field(field::kDroppedRequests) +
          " of requests, " + line.Field(field::kDroppedFailures) +
          " of failures, " + line.Field(field::kDroppedStates) + " of state");
    }
  }
  for (const std::string& host : named) {
    if (!writers.contains(host)) {
      story.missing.push_back("no line of host " + host);
    }
  }
  if (log.unreadable > 0) {
    story.missing.push_back(std::to_string(log.unreadable) +
                            " lines are no events");
  }
  if (!story.lines.empty() && story.lines.front().name != "request-taken") {
    story.missing.push_back("the line that took the request");
  }
}

}  // namespace

RequestDiagnosis DiagnoseRequest(const MergedLog& log,
                                 const std::string& request_id) {
  RequestDiagnosis story;
  for (const LogLine& line : log.lines) {
    if (line.Field("request") == request_id) {
      story.lines.push_back(line);
    }
  }
  FindMissing(log, story);
  if (story.lines.empty()) {
    story.causes.push_back(
        {RequestCause::kNotLogged,
         "the logs say nothing of it: it went well and was not sampled, "
         "failed beyond the log's rate, or reached none of these hosts"});
    return story;
  }
  for (const LogLine& line : story.lines) {
    if (line.name == "request-taken") {
      FindOldConfig(log, line, story);
    } else if (line.name == "request-sent") {
      FindLeaving(log, line, story);
    }
  }
  FindEnd(story);
  return story;
}

std::string ToText(const RequestDiagnosis& story,
                   const std::string& request_id) {
  const std::set<std::string> in_front = {"time",     "code", "name",
                                          "severity", "host", "request"};
  std::ostringstream text;
  text << "request " << request_id << "\n";
  for (const LogLine& line : story.lines) {
    text << "+" << MillisecondsBetween(story.lines.front().time, line.time)
         << " ms " << line.host << " " << line.name;
    for (const auto& [name, value] : line.fields) {
      if (!in_front.contains(name)) {
        text << " " << name << "=" << value;
      }
    }
    text << "\n";
  }
  for (const DiagnosedCause& cause : story.causes) {
    text << "cause: " << cause.explanation << "\n";
  }
  for (const std::string& what : story.missing) {
    text << "missing: " << what << "\n";
  }
  return text.str();
}

}  // namespace pathcleat
