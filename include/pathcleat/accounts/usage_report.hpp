// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pathcleat/core/hybrid_clock.hpp"
#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Requests a second of one account, averaged over about a second.
/// @ingroup accounts
struct AccountUsage {
  double demand = 0;  ///< requests that arrive
  double share_weight =
      0;  ///< weight by which the host's share is computed; at most the demand
  double admitted = 0;  ///< requests that were admitted
};

/// @brief Usage of one account as reported by one source.
/// @ingroup accounts
struct UsageEntry {
  std::uint64_t account_id = 0;  ///< see AccountId
  float demand = 0;  ///< demand, share_weight, admitted: see AccountUsage
  float share_weight = 0;
  float admitted = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(account_id, demand, share_weight, admitted);
  }
};

/// @brief Maximum number of entries in a datagram. An entry takes 20 bytes, so
/// that a full datagram has at most 1,472 bytes.
/// @ingroup accounts
inline constexpr std::size_t kMaxUsageEntries = 66;

/// @brief Maximum number of accounts that a source reports. Limits the traffic
/// to about four datagrams for each report.
/// @ingroup accounts
inline constexpr std::size_t kMaxReportedAccounts = 198;

/// @brief Current usage of the accounts' limits by a host, or by all hosts of a
/// failure domain together. Accounts without an entry have negligible usage.
/// A report may be one of several parts. A part is about the accounts whose
/// identifier modulo part_count is the part's number, and says nothing about
/// the others.
/// @ingroup accounts
struct UsageReport {
  std::string domain;
  std::string host;  ///< empty: sum over the whole domain
  HybridTime time;
  bool forward_to_domain =
      false;  ///< the receiver forwards the report to its own domain
  std::vector<UsageEntry> entries;
  std::uint8_t part = 0;        ///< not serialized here, see EncodeUsage
  std::uint8_t part_count = 1;  ///< as part
  /// Whether the source receives no reports from some other domain; as part.
  bool lacks_domain = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(domain, host, time, forward_to_domain, entries);
  }

  /// @brief Whether this part is about an account.
  bool Covers(std::uint64_t account) const {
    return account % part_count == part;
  }
};

/// @brief Divides a report into as few parts as hold at most kMaxUsageEntries
/// each. A part is returned as it is.
/// @ingroup accounts
std::vector<UsageReport> SplitUsage(const UsageReport& report);

/// @brief Encodes a report (cereal, portable binary). The number of the part
/// and lacks_domain follow the report, as earlier versions of a host ignore
/// further bytes.
/// @ingroup accounts
std::string EncodeUsage(const UsageReport& report);

/// @brief Decodes a report; nothing if the bytes are not a report.
/// @ingroup accounts
std::optional<UsageReport> DecodeUsage(std::string_view bytes);

/// @brief Source and receiver of the usage reports that hosts exchange.
/// @ingroup accounts
class UsagePublisher {
 public:
  virtual ~UsagePublisher() = default;

  /// @brief The report to the other hosts of the own failure domain.
  virtual UsageReport OwnUsage(Time now) = 0;

  /// @brief The report on the own failure domain to other domains.
  virtual UsageReport DomainUsage(Time now) = 0;

  /// @brief The last reports of other failure domains, for a host of the own
  /// domain that has just started.
  virtual std::vector<UsageReport> UsageSnapshot() const = 0;

  virtual void OnUsageReport(const UsageReport& report, Time now) = 0;
};

}  // namespace pathcleat
