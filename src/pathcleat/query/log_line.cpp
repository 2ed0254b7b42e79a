// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/query/log_line.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace pathcleat {
namespace {

using nlohmann::json;

template <class Number>
Number ParseNumber(std::string_view text) {
  Number number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::optional<LogLine> ParseLine(const std::string& text) {
  const auto begin = text.find('{');
  if (begin == std::string::npos) {
    return std::nullopt;
  }
  LogLine line;
  line.text = text.substr(begin);
  const json event = json::parse(line.text, nullptr, false);
  if (!event.is_object() || !event.contains("time") ||
      !event.contains("name")) {
    return std::nullopt;
  }
  for (const auto& [key, value] : event.items()) {
    line.fields[key] =
        value.is_string() ? value.get<std::string>() : value.dump();
  }
  line.time = ParseHybridTime(line.Field("time"));
  line.name = line.Field("name");
  line.host = line.Field("host");
  return line;
}

}  // namespace

bool SaysUpstreamLeaves(const LogLine& line) {
  return line.name == "upstream-leaving" ||
         line.name == "upstream-announced-leaving" ||
         line.name == "upstream-gone";
}

std::string LogLine::Field(const std::string& field) const {
  const auto found = fields.find(field);
  return found == fields.end() ? std::string() : found->second;
}

std::int64_t LogLine::Number(const std::string& field) const {
  return ParseNumber<std::int64_t>(Field(field));
}

void ReadLog(std::istream& stream, MergedLog& log) {
  for (std::string text; std::getline(stream, text);) {
    if (auto line = ParseLine(text)) {
      log.lines.push_back(std::move(*line));
    } else if (!text.empty()) {
      ++log.unreadable;
    }
  }
}

void SortByTime(MergedLog& log) {
  std::stable_sort(
      log.lines.begin(), log.lines.end(),
      [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
}

}  // namespace pathcleat
