// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/query/request_diagnosis.hpp"

#include <algorithm>
#include <sstream>

#include "property.hpp"

namespace pathcleat {
namespace {

const char* const kLogText = R"(
10.1.0.5 out: {"time":"5000000.0","name":"request-taken","host":"b","request":"r","config_version":2,"age_ms":900}
{"time":"4000000.0","name":"config-applied","host":"a","topic":"routes","config_version":3}
{"time":"5000000.1","name":"request-sent","host":"b","request":"r","upstream":"u1","list_version":7,"list_age_ms":800}
{"time":"4900000.0","name":"upstream-gone","host":"a","upstream":"u1","list_version":8}
{"time":"5002000.0","name":"request-answered","host":"b","request":"r","status":200}
{"time":"1.0","name":"peer-heard","host":"a","peer":"c"}
{"time":"6000000.0","name":"log-dropped","host":"b","dropped_requests":4,"dropped_failures":0,"dropped_states":0}
not an event {
)";

MergedLog ReadLogText(const std::string& text) {
  std::istringstream stream(text);
  MergedLog log;
  ReadLog(stream, log);
  SortByTime(log);
  return log;
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

Test(request_diagnosis, stale_config_and_list_are_reported_with_their_ages) {
  const RequestDiagnosis diagnosis =
      DiagnoseRequest(ReadLogText(kLogText), "r");
  cr_assert_eq(diagnosis.lines.size(), 3U);
  cr_assert_eq(diagnosis.causes.size(), 2U);
  cr_assert(diagnosis.causes[0].cause == RequestCause::kStaleConfig);
  cr_assert(
      Contains(diagnosis.causes[0].explanation, "in force at a for 1000 ms"));
  cr_assert(diagnosis.causes[1].cause == RequestCause::kLeavingUpstream);
  cr_assert(Contains(diagnosis.causes[1].explanation, "leaving for 100 ms"));
}

Test(request_diagnosis, missing_logs_are_reported) {
  const std::string text =
      ToText(DiagnoseRequest(ReadLogText(kLogText), "r"), "r");
  cr_assert(Contains(text, "missing: no line of host c"));
  cr_assert(Contains(text, "b dropped lines: 4 of requests"));
  cr_assert(Contains(text, "1 lines are no events"));
  const RequestDiagnosis unknown =
      DiagnoseRequest(ReadLogText(kLogText), "other");
  cr_assert(unknown.causes[0].cause == RequestCause::kNotLogged);
}

// Guards against a refused upload whose cause the logs do not tell.
Test(request_diagnosis, rejected_upload_is_explained_by_what_held_the_memory) {
  const std::string log = R"(
{"time":"4.0","name":"memory-used-up","host":"a","limit_bytes":1,"request_bytes":2,"answer_bytes":3,"connection_bytes":4}
{"time":"5.0","name":"memory-used-up","host":"b","limit_bytes":1000,"request_bytes":700,"answer_bytes":20,"connection_bytes":30}
{"time":"6.0","name":"caller-input-rejected","host":"b","request":"r","caller":"10.0.0.9","listener":"callers","reason":"no_memory","status":503}
)";
  const RequestDiagnosis diagnosis = DiagnoseRequest(ReadLogText(log), "r");
  cr_assert_eq(diagnosis.causes.size(), 1U);
  const std::string& text = diagnosis.causes[0].explanation;
  cr_assert(Contains(text, "not run: no_memory"));
  cr_assert(Contains(text, "of 1000 bytes requests held 700"));
}

Test(request_diagnosis, line_order_does_not_change_the_diagnosis) {
  cr_assert(Holds("any order", [] {
    std::vector<std::string> lines;
    std::istringstream stream(kLogText);
    for (std::string line; std::getline(stream, line);) {
      lines.push_back(line);
    }
    for (std::size_t i = lines.size(); i > 1; --i) {
      std::swap(lines[i - 1], lines[*rc::gen::inRange<std::size_t>(0, i)]);
    }
    std::string text;
    for (const std::string& line : lines) {
      text += line + "\n";
    }
    RC_ASSERT(ToText(DiagnoseRequest(ReadLogText(text), "r"), "r") ==
              ToText(DiagnoseRequest(ReadLogText(kLogText), "r"), "r"));
  }));
}

Test(request_diagnosis, arbitrary_bytes_are_parsed_or_counted) {
  cr_assert(Holds("no bytes do harm", [] {
    const auto bytes =
        *rc::gen::container<std::string>(rc::gen::inRange<char>(-128, 127));
    DiagnoseRequest(ReadLogText("{" + bytes), "r");
  }));
}

}  // namespace
}  // namespace pathcleat
