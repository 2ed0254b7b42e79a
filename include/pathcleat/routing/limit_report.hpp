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

/// @brief Value of LimitEntry::per_second if the upstream stated no limit.
/// @ingroup routing
inline constexpr float kNoRateLimit = -1;

/// @brief The newest observation of one upstream's rate limit.
/// @ingroup routing
struct LimitEntry {
  std::string upstream_id;  ///< id of the upstream
  /// Requests a second that the upstream accepts from all hosts together.
  float per_second = kNoRateLimit;
  std::uint32_t age_ms = 0;  ///< time since the observation

  template <class Archive>
  void serialize(Archive& archive) {
    archive(upstream_id, per_second, age_ms);
  }
};

/// @brief Maximum number of entries in a report. This many entries with ids of
/// 16 bytes fit in one datagram of 1,472 bytes.
/// @ingroup routing
inline constexpr std::size_t kMaxLimitEntries = 40;

/// @brief Rate limits stated by upstreams, as one host reports them to another.
/// @ingroup routing
struct LimitReport {
  std::string domain;  ///< failure domain of the sender
  std::string host;    ///< name of the sender
  bool forward_to_domain =
      false;  ///< whether the receiver forwards the limits within its domain
  std::vector<LimitEntry> entries;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(domain, host, forward_to_domain, entries);
  }
};

/// @brief Encodes a report in the portable binary format of cereal.
/// @ingroup routing
std::string EncodeLimits(const LimitReport& report);

/// @brief Decodes a report; empty if the bytes are not a valid report.
/// @ingroup routing
std::optional<LimitReport> DecodeLimits(std::string_view bytes);

/// @brief Supplies the limits that this host reports to other hosts, and
/// receives the limits that they report.
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
