// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/accounts/usage_report.hpp"

#include <algorithm>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "pathcleat/core/binary_codec.hpp"
#include "pathcleat/core/outside_bounds.hpp"

namespace pathcleat {
namespace {

float Clamp(float rate) {
  return static_cast<float>(ClampOutside(double{rate}));
}

void ClampEntries(UsageReport& report) {
  for (UsageEntry& entry : report.entries) {
    entry.demand = Clamp(entry.demand);
    entry.share_weight = Clamp(entry.share_weight);
    entry.admitted = Clamp(entry.admitted);
  }
}

}  // namespace

std::vector<UsageReport> SplitUsage(const UsageReport& report) {
  constexpr std::size_t kMaxParts = 255;
  if (report.part_count > 1) {
    return {report};
  }
  UsageReport header = report;
  header.entries.clear();
  std::vector<UsageReport> parts;
  for (std::size_t count = 1; count <= kMaxParts; ++count) {
    header.part_count = static_cast<std::uint8_t>(count);
    parts.assign(count, header);
    for (const UsageEntry& entry : report.entries) {
      parts[entry.account_id % count].entries.push_back(entry);
    }
    std::size_t largest = 0;
    for (std::size_t i = 0; i < count; ++i) {
      parts[i].part = static_cast<std::uint8_t>(i);
      largest = std::max(largest, parts[i].entries.size());
    }
    if (largest <= kMaxUsageEntries) {
      break;
    }
  }
  return parts;
}

std::string EncodeUsage(const UsageReport& report) {
  std::string bytes = EncodeBinary(report);
  bytes.push_back(static_cast<char>(report.part));
  bytes.push_back(static_cast<char>(report.part_count));
  bytes.push_back(report.lacks_domain ? '\1' : '\0');
  return bytes;
}

std::optional<UsageReport> DecodeUsage(std::string_view bytes) {
  constexpr std::size_t kTailSize = 3;
  std::size_t used = 0;
  auto report = DecodeBinary<UsageReport>(bytes, &used);
  if (report) {
    ClampEntries(*report);
  }
  if (!report || bytes.size() < used + kTailSize) {
    return report;
  }
  report->part = static_cast<std::uint8_t>(bytes[used]);
  report->part_count = static_cast<std::uint8_t>(bytes[used + 1]);
  report->lacks_domain = bytes[used + 2] != '\0';
  if (report->part >= report->part_count) {
    return std::nullopt;
  }
  return report;
}

}  // namespace pathcleat
