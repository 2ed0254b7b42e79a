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

/// @brief A request under which so many upstreams have ended is refused.
/// @ingroup crashes
inline constexpr std::size_t kCrashBlockThreshold = 3;

/// @brief That an upstream ended while it had a request.
/// @ingroup crashes
struct CrashObservation {
  std::uint64_t upstream_hash = 0;  ///< hash of its id
  std::uint32_t age_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(upstream_hash, age_ms);
  }
};

/// @brief Stands for an answer that never came.
/// @ingroup crashes
inline constexpr std::uint32_t kNeverAnswered =
    std::numeric_limits<std::uint32_t>::max();

/// @brief What is known of one request that may crash upstreams.
/// @ingroup crashes
struct CrashEntry {
  RequestDigest request = 0;
  std::vector<CrashObservation>
      observations;  ///< since its answer; kCrashBlockThreshold at most
  std::uint32_t answer_age_ms =
      kNeverAnswered;              ///< since an upstream answered it
  std::uint8_t failed_trials = 0;  ///< crashes after it was blocked for a while

  template <class Archive>
  void serialize(Archive& archive) {
    archive(request, observations, answer_age_ms, failed_trials);
  }
};

/// @brief So many entries fit a datagram of 1,472 bytes, at 57 bytes each.
/// @ingroup crashes
inline constexpr std::size_t kMaxCrashEntries = 24;

/// @brief What hosts tell each other of requests that crash upstreams.
/// @ingroup crashes
struct CrashReport {
  std::string domain;              ///< of the host that makes it
  std::string host;                ///< that makes it
  bool forward_to_domain = false;  ///< the receiver is to tell its own domain
  std::vector<CrashEntry> entries;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(domain, host, forward_to_domain, entries);
  }
};

/// @brief A report's bytes (cereal, portable binary).
/// @ingroup crashes
std::string EncodeCrashes(const CrashReport& report);

/// @brief Reads a report; nothing if the bytes are none.
/// @ingroup crashes
std::optional<CrashReport> DecodeCrashes(std::string_view bytes);

/// @brief Who takes part in what hosts tell each other of such requests.
/// @ingroup crashes
class CrashPublisher {
 public:
  virtual ~CrashPublisher() = default;

  /// @brief What this host has seen and tells its own failure domain now.
  /// @param reports whether it reports for the domain: then what is blocked is
  /// told again and again, as hosts may have been cut off.
  virtual CrashReport OwnCrashes(bool reports, Time now) = 0;

  /// @brief What the domain has seen; asked of the hosts that report for it.
  virtual CrashReport DomainCrashes(Time now) = 0;

  /// @brief What a host that has just started should know.
  virtual CrashReport CrashSnapshot(Time now) const = 0;

  /// @return whether something of it was new here.
  virtual bool OnCrashReport(const CrashReport& report, Time now) = 0;
};

}  // namespace pathcleat
