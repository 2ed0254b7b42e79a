// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/accounts/usage_report.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "pathcleat/core/binary_codec.hpp"

namespace pathcleat {

std::string EncodeUsage(const UsageReport& report) {
  return EncodeBinary(report);
}

std::optional<UsageReport> DecodeUsage(std::string_view bytes) {
  return DecodeBinary<UsageReport>(bytes);
}

}  // namespace pathcleat
