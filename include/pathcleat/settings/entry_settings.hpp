// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pathcleat/accounts/quota_bounds.hpp"
#include "pathcleat/core/mechanism.hpp"
#include "pathcleat/core/time.hpp"
#include "pathcleat/rollouts/rollout_bounds.hpp"
#include "pathcleat/settings/settings_fault.hpp"

namespace pathcleat {

/// @brief Listening addresses of a host, "IP:PORT". An interface with an empty
/// address is not served.
/// @ingroup settings
struct ListenAddresses {
  std::string callers;
  std::string readiness;
  std::string locate;
  std::string operators;
  std::string metrics;
};

/// @brief Limits that apply to all hosts together.
/// @ingroup settings
struct FleetBounds {
  double retry_ratio = 0.2;  ///< retries per request, over any period
  double retry_slack = 50;   ///< retries beyond retry_ratio, over any period
  double cold_slack = 5;     ///< requests beyond a cold upstream's rate limit
  /// Length of the windows in which requests are counted against a rate limit
  /// that an upstream reports. The requests in a window may exceed the limit by
  /// limit_overage and limit_slack together.
  Duration limit_window{4'000'000};
  double limit_overage = 0.5;  ///< as a share of the limit
  double limit_slack = 5;      ///< as a number of requests
  /// How long a caller may use a list of hosts from the locate interface.
  Duration locate_ttl{2'000'000};
  Duration stop_grace{6'000'000};  ///< from a planned stop to exit
  /// Time from the acknowledgement of a configuration after which no host may
  /// apply an older configuration.
  Duration config_apply{3'000'000};
  /// Time after the store answers again within which each host must receive
  /// changes again.
  Duration contact{3'000'000};
  /// Time from the acknowledgement of a configuration after which no host may
  /// accept a key that the configuration lacks. Missing: this deployment may
  /// have no client accounts, and then needs no keys.
  std::optional<Duration> revoke;
  QuotaBounds quota;  ///< how far client accounts may exceed their limits
  /// Missing: this deployment has no rollouts, and orders are refused.
  std::optional<RolloutBounds> rollout;
};

/// @brief Cost of transferring a gigabyte; 1 is the value of one answer.
/// @ingroup settings
struct TransferCosts {
  double between_domains = 0;
  double between_regions = 0;
};

/// @brief Selects the requests whose events are logged.
/// @ingroup settings
struct RequestLogSettings {
  bool enabled = true;  ///< false: no requests are logged
  /// Logs one in this many successful requests. 1 logs all of them, as needed
  /// to reconstruct every request of a day. Logging one in 128 costs less than
  /// 2% of the processor time.
  int sample_one_of = 128;
  /// Limit on logged requests per second that fail or are slow. 50 per second
  /// is 1% of the highest request rate of a host.
  double failures_per_second = 50;
};

/// @brief Settings that an entry host reads at its start.
/// @ingroup settings
struct EntrySettings {
  std::string host;
  std::string domain;
  std::string region;
  std::map<std::string, std::string> region_of_domain;
  ListenAddresses listen;
  std::string peer_address;  ///< IP address for messages between hosts
  std::uint16_t peer_port = 0;
  std::string store_address;
  /// Bandwidth of this host's link in Mbit/s. The default applies if the
  /// setting is missing or out of range. The default is low, so that the host
  /// relays for other hosts only if no host has a faster link.
  double link_mbps = 10;
  double cpu_cores = 0;               ///< that this host may use; 0: not stated
  std::uint32_t max_descriptors = 0;  ///< of files and sockets; 0: not stated
  /// Memory of the machine that this host may use, in units of 10^6 bytes. The
  /// default suits the smallest machines.
  std::uint32_t memory_mb = 160;
  FleetBounds bounds;
  TransferCosts transfer_costs;
  RequestLogSettings request_log;
  PolicySwitches policy;  ///< mechanisms disabled for measurements
  std::map<std::string, int> link_limits;  ///< max in flight, by other region
};

/// @brief Settings and the faults found in them. The settings are valid only if
/// faults is empty.
/// @ingroup settings
struct LoadedEntrySettings {
  EntrySettings settings;
  std::vector<SettingsFault> faults;
};

/// @brief Reads and checks an entry host's settings file; has no side effects.
/// @ingroup settings
LoadedEntrySettings LoadEntrySettings(const std::string& path);

}  // namespace pathcleat
