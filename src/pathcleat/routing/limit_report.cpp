// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/limit_report.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "pathcleat/core/binary_codec.hpp"

namespace pathcleat {

std::string EncodeLimits(const LimitReport& report) {
  return EncodeBinary(report);
}

std::optional<LimitReport> DecodeLimits(std::string_view bytes) {
  return DecodeBinary<LimitReport>(bytes);
}

}  // namespace pathcleat
