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

/// @brief The newest statement of one upstream about whether it leaves.
/// @ingroup routing
struct LeavingEntry {
  std::string upstream_id;       ///< id of the upstream
  std::uint64_t started_ms = 0;  ///< see UpstreamInfo::started_ms
  bool leaving = true;
  std::uint32_t age_ms = 0;  ///< time since the statement

  template <class Archive>
  void serialize(Archive& archive) {
    archive(upstream_id, started_ms, leaving, age_ms);
  }
};

/// @brief Maximum numbers of entries in a report. This many limits, or this
/// many statements and kMaxLimitEntriesWithLeaving limits, with ids of 16 bytes
/// fit in one datagram of 1,472 bytes.
/// @ingroup routing
inline constexpr std::size_t kMaxLimitEntries = 40;
inline constexpr std::size_t kMaxLimitEntriesWithLeaving = 20;
inline constexpr std::size_t kMaxLeavingEntries = 16;

/// @brief What upstreams stated in their answers, as one host reports it to
/// another.
/// @ingroup routing
struct StatementReport {
  std::string domain;  ///< failure domain of the sender
  std::string host;    ///< name of the sender
  bool forward_to_domain =
      false;  ///< whether the receiver forwards the report within its domain
  std::vector<LimitEntry> entries;
  std::vector<LeavingEntry> leaving;

  bool IsEmpty() const { return entries.empty() && leaving.empty(); }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(domain, host, forward_to_domain, entries, leaving);
  }
};

/// @brief Encodes a report in the portable binary format of cereal.
/// @ingroup routing
std::string EncodeStatements(const StatementReport& report);

/// @brief Decodes a report; empty if the bytes are not a valid report.
/// @ingroup routing
std::optional<StatementReport> DecodeStatements(std::string_view bytes);

/// @brief Supplies the statements of upstreams that this host reports to other
/// hosts, and receives those that they report.
/// @ingroup routing
class StatementPublisher {
 public:
  virtual ~StatementPublisher() = default;

  /// @brief Statements that this host recently read in answers.
  virtual StatementReport OwnStatements(Time now) = 0;

  /// @brief Statements that hosts of this host's failure domain recently read
  /// in answers.
  virtual StatementReport DomainStatements(Time now) = 0;

  /// @brief Statements in force, for a host that has just started.
  virtual StatementReport StatementSnapshot(Time now) = 0;

  virtual void OnStatementReport(const StatementReport& report, Time now) = 0;
};

}  // namespace pathcleat
