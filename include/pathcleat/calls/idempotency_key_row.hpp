// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "pathcleat/http/http_message.hpp"
#include "pathcleat/steer/key_claim.hpp"

namespace pathcleat {

/// @brief Row of an idempotency key in the table service.
/// @ingroup calls
struct IdempotencyKeyRow {
  KeyState state = KeyState::kRunning;
  std::string token;
  std::uint64_t fingerprint = 0;
  std::uint64_t deadline_wall_micros = 0;  ///< when the request must have ended
  HttpResponse answer;                     ///< for kFinished
};

/// @brief Name of the row that stores an idempotency key of a service. Always
/// UTF-8, for a key of any bytes; different keys have different names.
/// @ingroup calls
std::string IdempotencyKeyRowName(const std::string& service,
                                  const std::string& key);

/// @brief JSON form of a row, with the body in base64.
/// @ingroup calls
std::string ToJson(const IdempotencyKeyRow& row);

/// @brief Parses a row from its JSON form; no value if the text is invalid.
/// @ingroup calls
std::optional<IdempotencyKeyRow> IdempotencyKeyRowFromJson(
    const std::string& text);

}  // namespace pathcleat
