// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "pathcleat/core/time.hpp"
#include "pathcleat/fleet/domain_report.hpp"
#include "pathcleat/fleet/host_info.hpp"
#include "pathcleat/fleet/host_versions.hpp"

namespace pathcleat {

/// @brief Another host as this one knows it.
/// @ingroup fleet
struct KnownHost {
  HostInfo info;
  Time last_seen;    ///< its last sign of life, or when a row named it
  Time alive_since;  ///< first sign of life of this incarnation
  bool alive_at_last_check = false;
  bool has_heartbeat = false;  ///< false: known from the store's row alone
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

  /// @brief This host runs at this moment. To be told a few times a second,
  /// and before anything is decided by who lives. A machine that was suspended
  /// or stood still has heard nobody meanwhile: that time is no silence of the
  /// others.
  void CheckForStall(Time now);

  /// @brief For how long this host stood still, if that was not asked since.
  Duration TakeStallDuration() { return std::exchange(untold_still_, {}); }

  /// @brief A row of the store names a host.
  void OnStoreRow(const HostInfo& host, Time now);

  /// @brief A host's own message arrived.
  /// @return whether it was dead or unknown before.
  bool OnHeartbeat(const HostInfo& host,
                   const HostVersions& versions,
                   Time now);

  /// @brief Another failure domain names one of its hosts in full. That alone
  /// is no sign of life.
  void OnInfoReported(const HostInfo& host, Time now);

  /// @brief Another failure domain tells of a host that it has heard. One that
  /// was not introduced is passed over.
  /// @return the host if it was dead or unheard before; else null.
  const KnownHost* OnMemberReported(const MemberObservation& member,
                                    const HostVersions& versions,
                                    Time now);

  bool IsAlive(const KnownHost& host, Time now) const;

  /// @brief Whether a host counts where limits are shared among all hosts:
  /// longer than it counts as alive, and also if only a row names it, as a host
  /// that has just started has not heard all others yet. Who counts too few
  /// takes more than its share.
  bool SharesLimits(const KnownHost& host, Time now) const;

  /// @brief Names of the hosts that have fallen silent since the last call.
  std::vector<std::string> NewlySilent(Time now);

  /// @brief Whether the last that was heard of a host is its planned stop.
  bool IsLeaving(const std::string& name) const;

  /// @brief All other hosts that are known.
  std::vector<const KnownHost*> Others() const;

  /// @brief Hosts that share a region's limits, this one included; never less
  /// than one, as the sharing divides by it.
  int LimitSharerCountIn(const std::string& region, Time now) const;

  /// @brief Hosts that share, by region, this one included.
  std::map<std::string, int> LimitSharerCountsByRegion(Time now) const;

  /// @brief Hosts that share, this one included.
  int LimitSharerCount(Time now) const;

  /// @brief Hosts alive now, this one included.
  int AliveCount(Time now) const;

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
  Duration SilenceOf(const KnownHost& host, Time now) const;
  void Keep(const KnownHost& host);
  std::vector<HostInfo> Serving(Time now) const;

  HostInfo self_;
  Duration silence_;
  Time awake_;        ///< when this host last ran, as far as was told
  Time still_until_;  ///< end of its last standstill
  Duration still_for_{0};
  Duration untold_still_{0};
  std::map<std::string, KnownHost> others_;
  std::map<std::uint64_t, std::string> names_;  ///< by IncarnationId
};

}  // namespace pathcleat
