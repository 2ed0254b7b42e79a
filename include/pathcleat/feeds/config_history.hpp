// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "pathcleat/feeds/config_update.hpp"

namespace pathcleat {

/// @brief Encodes the newest configuration for other hosts, as an update from
/// the version that the receiver has in force. Each update is encoded once for
/// all hosts with the same version. Of older versions only the hashes of routes
/// and accounts are kept. Not thread-safe.
/// @ingroup feeds
class ConfigHistory {
 public:
  /// @brief Records a version that came into force. Versions must increase.
  void Append(const RoutingConfig& config);

  /// @brief The encoded update from a host's version to the newest one.
  /// @param config the newest configuration, as given to Append last.
  /// @param base_version version in force at the receiver. If it is 0 or no
  /// longer in the history, the update holds the full configuration.
  const std::string& EncodedUpdateSince(const RoutingConfig& config,
                                        std::uint64_t base_version);

 private:
  struct Version {
    std::uint64_t number;
    ListHashes routes;
    ListHashes accounts;
  };

  const Version* Find(std::uint64_t number) const;
  ConfigUpdate MakeUpdate(const RoutingConfig& config,
                          const Version* base) const;

  std::deque<Version> versions_;                  ///< oldest first
  std::map<std::uint64_t, std::string> encoded_;  ///< updates by base version
};

}  // namespace pathcleat
