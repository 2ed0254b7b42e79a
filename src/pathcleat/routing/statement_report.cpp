// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/statement_report.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "pathcleat/core/binary_codec.hpp"

namespace pathcleat {

std::string EncodeStatements(const StatementReport& report) {
  return EncodeBinary(report);
}

std::optional<StatementReport> DecodeStatements(std::string_view bytes) {
  return DecodeBinary<StatementReport>(bytes);
}

}  // namespace pathcleat
