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
  /// Number of the accepting host that differs at each start of its process.
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;  ///< number of the request at that host
  std::uint16_t attempt = 0;

  auto operator<=>(const RequestId&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(incarnation, sequence, attempt);
  }
};

/// @brief Formats an id as "incarnation-sequence" in hexadecimal. The text is
/// the same for all attempts of a request.
/// @ingroup core
std::string ToString(const RequestId& id);

/// @brief Parses "incarnation-sequence"; the attempt of the result is 0.
/// @ingroup core
std::optional<RequestId> ParseRequestId(std::string_view text);

/// @brief Hash for unordered containers.
/// @ingroup core
struct RequestIdHash {
  std::size_t operator()(const RequestId& id) const;
};

}  // namespace pathcleat
