// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/statement_report.hpp"

#include <algorithm>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "pathcleat/core/binary_codec.hpp"
#include "pathcleat/core/outside_bounds.hpp"

namespace pathcleat {
namespace {

constexpr auto kMaxRate = static_cast<float>(kMaxOutsideQuantity);

}  // namespace

std::string EncodeStatements(const StatementReport& report) {
  return EncodeBinary(report);
}

std::optional<StatementReport> DecodeStatements(std::string_view bytes) {
  auto report = DecodeBinary<StatementReport>(bytes);
  if (report) {
    for (LimitEntry& entry : report->entries) {
      entry.per_second = std::clamp(entry.per_second, kNoRateLimit, kMaxRate);
    }
  }
  return report;
}

}  // namespace pathcleat
