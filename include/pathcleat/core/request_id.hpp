// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace pathcleat {

/// @brief Identity of one attempt of one request, unique over all hosts and
/// their restarts.
/// @ingroup core
struct RequestId {
  std::uint64_t incarnation = 0;  ///< of the entry host that took it
  std::uint64_t sequence = 0;     ///< count at that host
  std::uint16_t attempt = 0;

  auto operator<=>(const RequestId&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(incarnation, sequence, attempt);
  }
};

/// @brief "incarnation-sequence", in hexadecimal; attempts share it.
/// @ingroup core
std::string ToString(const RequestId& id);

/// @brief Reads the text form back; attempt is 0.
/// @ingroup core
std::optional<RequestId> ParseRequestId(std::string_view text);

/// @brief Hash for unordered containers.
/// @ingroup core
struct RequestIdHash {
  std::size_t operator()(const RequestId& id) const;
};

}  // namespace pathcleat
