// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/query/send_stage_report.hpp"

#include <algorithm>
#include <cstdlib>
#include <sstream>

#include "pathcleat/core/event_field.hpp"

namespace pathcleat {
namespace {

constexpr std::int64_t kMicrosInMillisecond = 1'000;
// Turns of the loop that ended longer ago than this do not delay a request.
constexpr std::int64_t kTurnWindowMs = 5'000;

std::int64_t MillisecondsBetween(const LogLine& from, const LogLine& until) {
  return (static_cast<std::int64_t>(until.time.micros) -
          static_cast<std::int64_t>(from.time.micros)) /
         kMicrosInMillisecond;
}

void DescribeList(const MergedLog& log,
                  const LogLine& sent,
                  std::ostream& text) {
  const std::string upstream = sent.Field(field::kUpstream);
  const LogLine* first = nullptr;
  const LogLine* own = nullptr;
  for (const LogLine& line : log.lines) {
    if (!SaysUpstreamLeaves(line) || line.Field(field::kUpstream) != upstream) {
      continue;
    }
    first = first == nullptr ? &line : first;
    own = own == nullptr && line.host == sent.host ? &line : own;
  }
  if (first == nullptr) {
    text << "no host learnt that " << upstream << " leaves; ";
    return;
  }
  if (own == nullptr) {
    text << sent.host << " never learnt that " << upstream
         << " leaves, which the first host learnt "
         << MillisecondsBetween(*first, sent) << " ms before the choice; ";
    return;
  }
  const std::int64_t after_choice = MillisecondsBetween(sent, *own);
  text << sent.host << " learnt that " << upstream << " leaves "
       << MillisecondsBetween(*first, *own) << " ms after the first host, "
       << std::abs(after_choice) << " ms "
       << (after_choice < 0 ? "before" : "after") << " the choice; ";
}

void DescribeLoop(const MergedLog& log,
                  const LogLine& sent,
                  std::ostream& text) {
  const LogLine* longest = nullptr;
  for (const LogLine& line : log.lines) {
    const std::int64_t age = MillisecondsBetween(line, sent);
    const bool matters = line.name == "loop-slow" && line.host == sent.host &&
                         age <= kTurnWindowMs && -age <= kTurnWindowMs;
    if (matters &&
        (longest == nullptr ||
         line.Number(field::kElapsedMs) > longest->Number(field::kElapsedMs))) {
      longest = &line;
    }
  }
  if (longest == nullptr) {
    text << "no slow turn of its loop; ";
    return;
  }
  text << "longest turn of its loop " << longest->Field(field::kElapsedMs)
       << " ms (" << longest->Field(field::kTask) << "); ";
}

// First line of an event that belongs to the same attempt as `sent`.
const LogLine* FindOfAttempt(const MergedLog& log,
                             const LogLine& sent,
                             const std::string& name) {
  const auto found =
      std::find_if(log.lines.begin(), log.lines.end(), [&](const auto& line) {
        return line.name == name && !(line.time < sent.time) &&
               line.host == sent.host &&
               line.Field(field::kRequest) == sent.Field(field::kRequest) &&
               line.Field(field::kUpstream) == sent.Field(field::kUpstream);
      });
  return found == log.lines.end() ? nullptr : &*found;
}

void DescribeWay(const MergedLog& log,
                 const LogLine& sent,
                 std::ostream& text) {
  if (sent.Field(field::kKept) == "true") {
    text << "written at once over a kept connection; ";
  } else if (const LogLine* opened =
                 FindOfAttempt(log, sent, "connection-opened")) {
    text << "connection open " << opened->Field(field::kElapsedMs)
         << " ms after the choice; ";
  } else {
    text << "no connection opened; ";
  }
  const LogLine* begun = FindOfAttempt(log, sent, "answer-begun");
  if (begun == nullptr) {
    text << "no answer tells that it arrived";
    return;
  }
  text << "arrived at most " << begun->Field(field::kAnswerMs)
       << " ms after the first byte was written";
}

}  // namespace

std::string DescribeSendStages(const MergedLog& log, const LogLine& sent) {
  std::ostringstream text;
  DescribeList(log, sent, text);
  DescribeLoop(log, sent, text);
  DescribeWay(log, sent, text);
  return text.str();
}

}  // namespace pathcleat
