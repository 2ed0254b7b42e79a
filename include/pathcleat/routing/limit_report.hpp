// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Stands for an upstream that names no limit.
/// @ingroup routing
inline constexpr float kNoRateLimit = -1;

/// @brief What is known of one upstream's limit.
/// @ingroup routing
struct LimitEntry {
  std::string upstream_id;          ///< id
  float per_second = kNoRateLimit;  ///< requests that it takes from all hosts
  std::uint32_t age_ms = 0;         ///< since that was known to hold

  template <class Archive>
  void serialize(Archive& archive) {
    archive(upstream_id, per_second, age_ms);
  }
};

/// @brief So many entries fit a datagram of 1,472 bytes, with ids of 16 bytes.
/// @ingroup routing
inline constexpr std::size_t kMaxLimitEntries = 40;

/// @brief What hosts tell each other of the limits that upstreams name.
/// @ingroup routing
struct LimitReport {
  std::string domain;              ///< of the host that makes it
  std::string host;                ///< that makes it
  bool forward_to_domain = false;  ///< the receiver is to tell its own domain
  std::vector<LimitEntry> entries;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(domain, host, forward_to_domain, entries);
  }
};

/// @brief A report's bytes (cereal, portable binary).
/// @ingroup routing
std::string EncodeLimits(const LimitReport& report);

/// @brief Reads a report; nothing if the bytes are none.
/// @ingroup routing
std::optional<LimitReport> DecodeLimits(std::string_view bytes);

/// @brief Who takes part in what hosts tell each other of limits.
/// @ingroup routing
class LimitPublisher {
 public:
  virtual ~LimitPublisher() = default;

  /// @brief What answers have told this host of late.
  virtual LimitReport OwnLimits(Time now) = 0;

  /// @brief What the hosts of its failure domain have been told of late.
  virtual LimitReport DomainLimits(Time now) = 0;

  /// @brief The limits in force, for a host that has just started.
  virtual LimitReport LimitSnapshot(Time now) = 0;

  virtual void OnLimitReport(const LimitReport& report, Time now) = 0;
};

}  // namespace pathcleat
