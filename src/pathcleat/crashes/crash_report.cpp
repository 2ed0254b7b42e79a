// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/crashes/crash_report.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "pathcleat/core/binary_codec.hpp"

namespace pathcleat {

std::string EncodeCrashes(const CrashReport& report) {
  return EncodeBinary(report);
}

std::optional<CrashReport> DecodeCrashes(std::string_view bytes) {
  return DecodeBinary<CrashReport>(bytes);
}

}  // namespace pathcleat
