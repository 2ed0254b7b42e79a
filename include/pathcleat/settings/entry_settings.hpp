// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pathcleat/accounts/quota_bounds.hpp"
#include "pathcleat/core/mechanism.hpp"
#include "pathcleat/core/time.hpp"
#include "pathcleat/settings/settings_fault.hpp"

namespace pathcleat {

/// @brief Addresses that a host listens at, "IP:PORT"; empty: not served.
/// @ingroup settings
struct ListenAddresses {
  std::string callers;
  std::string readiness;
  std::string locate;
  std::string operators;
  std::string metrics;
};

/// @brief Bounds on what all hosts together may do.
/// @ingroup settings
struct FleetBounds {
  double retry_ratio = 0.2;  ///< retries a request, in any window
  double retry_slack = 50;   ///< and so many more in any window
  double cold_slack = 5;     ///< requests a second beyond what one bears
  /// How far the limit that an upstream names may be passed in any window.
  Duration limit_window{4'000'000};
  double limit_overage = 0.5;  ///< part of the limit
  double limit_slack = 5;      ///< and so many requests more
  Duration locate_ttl{2'000'000};
  Duration stop_grace{6'000'000};  ///< from a planned stop to the end
  /// From a configuration's acknowledgement to where no host may go by an
  /// older one.
  Duration config_apply{3'000'000};
  QuotaBounds quota;  ///< how far client accounts' limits may be passed
};

/// @brief Cost of carrying a gigabyte, in worths of one answer.
/// @ingroup settings
struct TransferCosts {
  double between_domains = 0;
  double between_regions = 0;
};

/// @brief Which requests' events go to the log.
/// @ingroup settings
struct RequestLogSettings {
  bool enabled = true;  ///< whether any do
  /// Of the requests that go well, one in so many; 1 logs all of them, as an
  /// account of a whole day needs. One in 128 costs under 2% of the processor
  /// time (docs/MEASUREMENTS.md, "Cost of the log").
  int sample_one_of = 128;
  /// Requests that fail or are slow, a second; 50 is 1% of what a host of
  /// today's size takes at most.
  double failures_per_second = 50;
};

/// @brief Everything that one entry host learns at its start.
/// @ingroup settings
struct EntrySettings {
  std::string host;
  std::string domain;
  std::string region;
  std::map<std::string, std::string> region_of_domain;
  ListenAddresses listen;
  std::string peer_address;  ///< IP number for messages between hosts
  std::uint16_t peer_port = 0;
  std::string store_address;
  /// What this host's link carries, Mbit/s. The default stands where the
  /// setting is missing or no link's: that of a thin host, which then relays
  /// for others only if none is wider.
  double link_mbps = 10;
  FleetBounds bounds;
  TransferCosts transfer_costs;
  RequestLogSettings request_log;
  PolicySwitches policy;  ///< mechanisms switched off, for measurements
  std::map<std::string, int> link_limits;  ///< in flight, by other region
};

/// @brief Settings, and all that is wrong with them; usable if faults is
/// empty.
/// @ingroup settings
struct LoadedEntrySettings {
  EntrySettings settings;
  std::vector<SettingsFault> faults;
};

/// @brief Reads an entry host's settings file. Starts and changes nothing.
/// @ingroup settings
LoadedEntrySettings LoadEntrySettings(const std::string& path);

}  // namespace pathcleat
