// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/query/request_diagnosis.hpp"

#include <criterion/criterion.h>

#include <sstream>

namespace pathcleat {
namespace {

std::string Explain(const std::string& text) {
  std::istringstream stream(text);
  MergedLog log;
  ReadLog(stream, log);
  SortByTime(log);
  return ToText(DiagnoseRequest(log, "r"), "r");
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Guards against a late send of which nobody can tell whether the list, the
// loop, the connection or the bytes were late.
Test(send_stage_report, each_stage_is_told_apart) {
  const std::string text = Explain(R"(
{"time":"4000000.0","name":"upstream-leaving","host":"a","upstream":"u1"}
{"time":"5900000.0","name":"loop-slow","host":"b","task":"config","elapsed_ms":1170}
{"time":"5950000.0","name":"loop-slow","host":"c","task":"tick","elapsed_ms":3000}
{"time":"6000000.0","name":"request-sent","host":"b","request":"r","upstream":"u1","kept":false}
{"time":"6400000.0","name":"upstream-leaving","host":"b","upstream":"u1"}
{"time":"6500000.0","name":"connection-opened","host":"b","request":"r","upstream":"u1","elapsed_ms":500}
{"time":"6600000.0","name":"answer-begun","host":"b","request":"r","upstream":"u1","answer_ms":90}
)");
  cr_assert(Contains(text, "2400 ms after the first host"), "%s", text.c_str());
  cr_assert(Contains(text, "400 ms after the choice"));
  cr_assert(Contains(text, "longest turn of its loop 1170 ms (config)"));
  cr_assert(Contains(text, "connection open 500 ms after the choice"));
  cr_assert(Contains(text, "arrived at most 90 ms after"));
}

Test(send_stage_report, send_after_the_leaving_was_known_is_told) {
  const std::string text = Explain(R"(
{"time":"4000000.0","name":"upstream-leaving","host":"b","upstream":"u1"}
{"time":"6000000.0","name":"request-sent","host":"b","request":"r","upstream":"u1","kept":true}
)");
  cr_assert(
      Contains(text, "0 ms after the first host, 2000 ms before the choice"),
      "%s", text.c_str());
}

Test(send_stage_report, what_the_logs_lack_is_said) {
  const std::string text = Explain(R"(
{"time":"4000000.0","name":"upstream-leaving","host":"a","upstream":"u1"}
{"time":"6000000.0","name":"request-sent","host":"b","request":"r","upstream":"u1","kept":true}
)");
  cr_assert(Contains(text, "b never learnt that u1 leaves"), "%s",
            text.c_str());
  cr_assert(Contains(text, "no slow turn of its loop"));
  cr_assert(Contains(text, "over a kept connection"));
  cr_assert(Contains(text, "no answer tells that it arrived"));
}

}  // namespace
}  // namespace pathcleat
