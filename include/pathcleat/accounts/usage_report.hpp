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
  double demand = 0;        ///< that come
  double share_weight = 0;  ///< by which shares go: the demand, or less of it
  double admitted = 0;      ///< of the demand, within the account's limit
};

/// @brief What one source tells of one account.
/// @ingroup accounts
struct UsageEntry {
  std::uint64_t account_id = 0;  ///< AccountId
  float demand = 0;              ///< as in AccountUsage
  float share_weight = 0;
  float admitted = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(account_id, demand, share_weight, admitted);
  }
};

/// @brief So many entries fit a datagram of 1,472 bytes, at 20 bytes each.
/// @ingroup accounts
inline constexpr std::size_t kMaxUsageEntries = 66;

/// @brief What a host, or all hosts of a failure domain together, take of the
/// accounts' limits now. An account that is not named takes next to nothing.
/// @ingroup accounts
struct UsageReport {
  std::string domain;
  std::string host;  ///< empty: of the whole domain
  HybridTime time;
  bool forward_to_domain = false;  ///< the receiver is to tell its own domain
  std::vector<UsageEntry> entries;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(domain, host, time, forward_to_domain, entries);
  }
};

/// @brief A report's bytes (cereal, portable binary).
/// @ingroup accounts
std::string EncodeUsage(const UsageReport& report);

/// @brief Reads a report; nothing if the bytes are none.
/// @ingroup accounts
std::optional<UsageReport> DecodeUsage(std::string_view bytes);

/// @brief Who takes part in what hosts tell each other of their usage.
/// @ingroup accounts
class UsagePublisher {
 public:
  virtual ~UsagePublisher() = default;

  /// @brief What this host tells the others of its failure domain.
  virtual UsageReport OwnUsage(Time now) = 0;

  /// @brief What it tells other failure domains of its own one.
  virtual UsageReport DomainUsage(Time now) = 0;

  /// @brief What it knows of other failure domains, for a host that has just
  /// started beside it.
  virtual std::vector<UsageReport> UsageSnapshot() const = 0;

  virtual void OnUsageReport(const UsageReport& report, Time now) = 0;
};

}  // namespace pathcleat
