// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "pathcleat/accounts/account_table.hpp"
#include "pathcleat/routing/routing_config.hpp"

namespace pathcleat {

/// @brief The routes in force, indexed for look-ups. The version never
/// decreases. Not thread-safe.
/// @ingroup routing
class RouteTable {
 public:
  /// @brief Replaces the routes if the version is newer.
  /// @return false, without effect, if the version is not newer.
  bool ReplaceIfNewer(RoutingConfig config);

  bool IsLoaded() const { return config_ != nullptr; }
  std::uint64_t version() const { return config_ ? config_->version : 0; }
  const RoutingConfig& config() const { return *config_; }

  /// @brief The accounts of the version in force. The pointer keeps that
  /// version alive.
  AccountTable::Accounts accounts() const {
    return {config_, &config_->accounts};
  }

  /// @brief The host's route with the longest prefix of the path; null if there
  /// is none. The pointer keeps the route's configuration version alive.
  /// @param host value of the Host header; a port in it is ignored.
  /// @param target request target; a query in it is ignored.
  std::shared_ptr<const Route> Find(std::string_view host,
                                    std::string_view target) const;

  /// @brief The shortest timeout of all routes; zero without routes.
  Duration ShortestTimeout() const;

  /// @brief A service's entry; null if the version in force has none of that
  /// name.
  const ServiceInfo* FindService(std::string_view name) const;

 private:
  std::shared_ptr<const RoutingConfig> config_;
  /// Routes of a host, longest prefix first.
  std::map<std::string, std::vector<const Route*>, std::less<>> by_host_;
  std::map<std::string, const ServiceInfo*, std::less<>> services_;
};

/// @brief Picks one of a route's splits. Each split covers a part of the
/// positions proportional to its weight.
/// @param position of the request, in [0, 1).
/// @return null for a route without splits.
/// @ingroup routing
const RouteSplit* PickSplit(const Route& route, double position);

}  // namespace pathcleat
