// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "pathcleat/core/time.hpp"
#include "pathcleat/fleet/host_info.hpp"
#include "pathcleat/fleet/host_versions.hpp"

namespace pathcleat {

/// @brief Another host as this one knows it.
/// @ingroup fleet
struct KnownHost {
  HostInfo info;
  Time heard;  ///< its last sign of life
  bool reported_alive = false;
  bool ever_heard = false;  ///< false: known from the store's row alone
  HostVersions versions;
};

/// @brief The hosts of the fleet: known from the store and from heartbeats,
/// alive by their heartbeats alone. Not thread-safe.
/// @ingroup fleet
class HostTable {
 public:
  /// @param silence a host unheard for longer counts as dead.
  explicit HostTable(HostInfo self, Duration silence);

  const HostInfo& self() const { return self_; }
  void SetLeaving() { self_.leaving = true; }

  /// @brief A row of the store names a host.
  void OnListed(const HostInfo& host, Time now);

  /// @brief A host's own message arrived.
  /// @return whether it was dead or unknown before.
  bool OnHeard(const HostInfo& host, const HostVersions& versions, Time now);

  bool IsAlive(const KnownHost& host, Time now) const;

  /// @brief Names of the hosts that have fallen silent since the last call.
  std::vector<std::string> NewlySilent(Time now);

  /// @brief All other hosts that are known.
  std::vector<const KnownHost*> Others() const;

  /// @brief Hosts alive now in a region, this one included; never less
  /// than one, as the sharing of limits among them divides by it.
  int AliveIn(const std::string& region, Time now) const;

  /// @brief Hosts alive now, this one included, by region.
  std::map<std::string, int> AliveByRegion(Time now) const;

  /// @brief Hosts alive now, this one included.
  int Alive(Time now) const;

  /// @brief Whether another host that takes callers has this configuration, or
  /// a newer one, in force.
  bool OtherHasConfig(std::uint64_t version, Time now) const;

  /// @brief Addresses that a caller should use: hosts of its failure domain;
  /// where those are fewer than wanted, its region's too; else any.
  std::vector<std::string> Locate(const std::string& region,
                                  const std::string& domain,
                                  std::size_t most,
                                  Time now) const;

 private:
  std::vector<HostInfo> Serving(Time now) const;

  HostInfo self_;
  Duration silence_;
  std::map<std::string, KnownHost> others_;
};

}  // namespace pathcleat
