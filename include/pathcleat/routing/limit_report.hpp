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

/// @brief LimitEntry::per_second of an upstream that names no limit.
/// @ingroup routing
inline constexpr float kNoRateLimit = -1;

/// @brief The newest observation of one upstream's rate limit.
/// @ingroup routing
struct LimitEntry {
  std::string upstream_id;          ///< id of the upstream
  float per_second = kNoRateLimit;  ///< requests it accepts from all hosts
  std::uint32_t age_ms = 0;         ///< time since the observation

  template <class Archive>
  void serialize(Archive& archive) {
    archive(upstream_id, per_second, age_ms);
  }
};

/// @brief Most entries of a report: as many as fit a datagram of 1,472 bytes,
/// with ids of 16 bytes.
/// @ingroup routing
inline constexpr std::size_t kMaxLimitEntries = 40;

/// @brief Rate limits named by upstreams, as hosts report them to each other.
/// @ingroup routing
struct LimitReport {
  std::string domain;  ///< failure domain of the sender
  std::string host;    ///< sender
  bool forward_to_domain =
      false;  ///< whether the receiver reports it to its own domain
  std::vector<LimitEntry> entries;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(domain, host, forward_to_domain, entries);
  }
};

/// @brief Encodes a report (cereal, portable binary).
/// @ingroup routing
std::string EncodeLimits(const LimitReport& report);

/// @brief Decodes a report; nothing if the bytes are not a valid one.
/// @ingroup routing
std::optional<LimitReport> DecodeLimits(std::string_view bytes);

/// @brief Supplies the limits that this host reports to other hosts, and
/// receives theirs.
/// @ingroup routing
class LimitPublisher {
 public:
  virtual ~LimitPublisher() = default;

  /// @brief Limits that this host recently read in answers.
  virtual LimitReport OwnLimits(Time now) = 0;

  /// @brief Limits that hosts of this host's failure domain recently read in
  /// answers.
  virtual LimitReport DomainLimits(Time now) = 0;

  /// @brief Limits in force, for a host that has just started.
  virtual LimitReport LimitSnapshot(Time now) = 0;

  virtual void OnLimitReport(const LimitReport& report, Time now) = 0;
};

}  // namespace pathcleat
