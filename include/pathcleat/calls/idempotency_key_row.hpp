// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "pathcleat/http/http_message.hpp"
#include "pathcleat/steer/key_claim.hpp"

namespace pathcleat {

/// @brief An idempotency key's row as it lies in the table service.
/// @ingroup calls
struct IdempotencyKeyRow {
  KeyState state = KeyState::kRunning;
  std::string token;
  std::uint64_t fingerprint = 0;
  std::uint64_t deadline_wall_micros =
      0;                ///< the request must have ended by then
  HttpResponse answer;  ///< for kFinished
};

/// @brief Name of the row of a service's key.
/// @ingroup calls
std::string IdempotencyKeyRowName(const std::string& service,
                                  const std::string& key);

/// @brief JSON form of a row; bodies are kept in base64.
/// @ingroup calls
std::string ToJson(const IdempotencyKeyRow& row);

/// @brief The row of a JSON text; no value if it is not one.
/// @ingroup calls
std::optional<IdempotencyKeyRow> IdempotencyKeyRowFromJson(
    const std::string& text);

}  // namespace pathcleat
