// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "pathcleat/feeds/config_update.hpp"

namespace pathcleat {

/// @brief The newest configuration as this host passes it on: to each host
/// what changes the version that it knows, encoded once for all of them. Of
/// older versions only the marks of their routes and accounts are kept. Not
/// thread-safe.
/// @ingroup feeds
class ConfigHistory {
 public:
  /// @brief A version came into force. Versions only rise.
  void Append(const RoutingConfig& config);

  /// @brief The bytes that lead a host from one version to the newest.
  /// @param config the newest, as it was noted.
  /// @param known version in force there; one not remembered here, or 0, is
  /// told the whole.
  const std::string& EncodedUpdateSince(const RoutingConfig& config,
                                        std::uint64_t known);

 private:
  struct Version {
    std::uint64_t number;
    ListHashes routes;
    ListHashes accounts;
  };

  const Version* Find(std::uint64_t number) const;
  ConfigUpdate MakePart(const RoutingConfig& config, const Version* base) const;

  std::deque<Version> versions_;                  ///< oldest first
  std::map<std::uint64_t, std::string> encoded_;  ///< by the version known
};

}  // namespace pathcleat
