// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pathcleat/core/time.hpp"
#include "pathcleat/crashes/request_digest.hpp"

namespace pathcleat {

/// @brief Number of upstreams that must have ended while running a request for
/// the request to be blocked.
/// @ingroup crashes
inline constexpr std::size_t kCrashBlockThreshold = 3;

/// @brief One upstream that ended while it was running a request.
/// @ingroup crashes
struct CrashObservation {
  std::uint64_t upstream_hash = 0;  ///< hash of the upstream's id
  std::uint32_t age_ms = 0;         ///< milliseconds since the upstream ended

  template <class Archive>
  void serialize(Archive& archive) {
    archive(upstream_hash, age_ms);
  }
};

/// @brief Value of CrashEntry::answer_age_ms if no upstream has answered the
/// request.
/// @ingroup crashes
inline constexpr std::uint32_t kNeverAnswered =
    std::numeric_limits<std::uint32_t>::max();

/// @brief State of one request that may crash upstreams.
/// @ingroup crashes
struct CrashEntry {
  RequestDigest request = 0;
  std::vector<CrashObservation>
      observations;  ///< since the last answer; at most kCrashBlockThreshold
  std::uint32_t answer_age_ms =
      kNeverAnswered;  ///< milliseconds since an upstream last answered the
                       ///< request
  std::uint8_t failed_trials =
      0;  ///< trials of the blocked request that crashed an upstream

  template <class Archive>
  void serialize(Archive& archive) {
    archive(request, observations, answer_age_ms, failed_trials);
  }
};

/// @brief Maximum number of entries in a report. An entry takes 57 bytes, so
/// that a full report fits a datagram of 1,472 bytes.
/// @ingroup crashes
inline constexpr std::size_t kMaxCrashEntries = 24;

/// @brief Report on requests that crash upstreams, exchanged between hosts.
/// @ingroup crashes
struct CrashReport {
  std::string domain;  ///< failure domain of the sending host
  std::string host;    ///< sending host
  bool forward_to_domain =
      false;  ///< the receiver forwards the report to its own domain
  std::vector<CrashEntry> entries;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(domain, host, forward_to_domain, entries);
  }
};

/// @brief Encodes a report (cereal, portable binary).
/// @ingroup crashes
std::string EncodeCrashes(const CrashReport& report);

/// @brief Decodes a report; nothing if the bytes are not a report.
/// @ingroup crashes
std::optional<CrashReport> DecodeCrashes(std::string_view bytes);

/// @brief Source and receiver of the crash reports that hosts exchange.
/// @ingroup crashes
class CrashPublisher {
 public:
  virtual ~CrashPublisher() = default;

  /// @brief The report of this host to its own failure domain.
  /// @param is_reporter whether this host reports for its domain. A reporter
  /// repeats the blocked requests, as some hosts may have been cut off during
  /// earlier reports.
  virtual CrashReport OwnCrashes(bool is_reporter, Time now) = 0;

  /// @brief The report on the own domain to other domains, sent by the hosts
  /// that report for the domain.
  virtual CrashReport DomainCrashes(Time now) = 0;

  /// @brief The state to send to a host that has just started.
  virtual CrashReport CrashSnapshot(Time now) const = 0;

  /// @return whether the report added or removed crashes at this host.
  virtual bool OnCrashReport(const CrashReport& report, Time now) = 0;
};

}  // namespace pathcleat
