// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

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

/// @brief The data that this host has on another host.
/// @ingroup fleet
struct HostEntry {
  HostInfo info;
  Time last_seen;    ///< last heartbeat, or when its record arrived
  Time alive_since;  ///< first heartbeat or record of this incarnation
  bool alive_at_last_check = false;
  bool has_heartbeat = false;  ///< false: only the host's record arrived
  HostVersions versions;
};

/// @brief The hosts of the fleet. Hosts are added from rows of the store, from
/// records that other domains send and from heartbeats; only heartbeats make a
/// host count as alive. Not thread-safe.
/// @ingroup fleet
class HostTable {
 public:
  /// @param heartbeat_timeout time without a heartbeat after which a host
  /// counts as dead.
  explicit HostTable(HostInfo self, Duration heartbeat_timeout);

  const HostInfo& self() const { return self_; }
  void SetLeaving() { self_.leaving = true; }
  void SetIsolated(bool isolated) { self_.isolated = isolated; }
  /// @brief Sets the utilization and load step that heartbeats of this host
  /// report.
  void SetLoad(double utilization, std::uint8_t load_step) {
    self_.utilization = utilization;
    self_.load_step = load_step;
  }

  /// @brief Detects that this host was stalled since the last call. Call this
  /// a few times a second, and before any decision that depends on which hosts
  /// are alive. A machine that was suspended or stalled received no heartbeats
  /// during the stall, so the stall does not count towards other hosts'
  /// time-outs.
  void CheckForStall(Time now);

  /// @brief Returns the duration of the last stall of this host and resets it
  /// to zero, so that each stall is returned once; zero if there was none.
  Duration TakeStallDuration() { return std::exchange(unreported_stall_, {}); }

  /// @brief Adds the host of a store row, or replaces an older incarnation.
  void OnStoreRow(const HostInfo& host, Time now);

  /// @brief Records a heartbeat that arrived directly from its sender `host`.
  /// @return whether the host was dead or not listed before.
  bool OnHeartbeat(const HostInfo& host,
                   const HostVersions& versions,
                   Time now);

  /// @brief Records a complete host record that another failure domain sent
  /// about one of its hosts. The record alone does not make the host alive.
  void OnInfoReported(const HostInfo& host, Time now);

  /// @brief Records a heartbeat that another failure domain received from one
  /// of its hosts. Ignored if this host has no record of that incarnation.
  /// @return the host if it was dead or had no heartbeat before; else null.
  const HostEntry* OnMemberReported(const MemberObservation& member,
                                    const HostVersions& versions,
                                    Time now);

  bool IsAlive(const HostEntry& host, Time now) const;

  /// @brief Whether `host` is counted where limits are divided among all hosts.
  /// A host that counts too few other hosts uses more than its share of a
  /// limit. So a host is counted for longer than it counts as alive. A store
  /// row is enough to be counted, because this host has not received the
  /// heartbeats of all other hosts yet when it has just started.
  bool SharesLimits(const HostEntry& host, Time now) const;

  /// @brief Names of the hosts whose heartbeats timed out since the last call.
  std::vector<std::string> TakeTimedOutHosts(Time now);

  /// @brief Whether a host's last message announced its planned stop.
  bool IsLeaving(const std::string& name) const;

  /// @brief All other hosts in the table, dead ones included.
  std::vector<const HostEntry*> Others() const;

  /// @brief Number of hosts that share a region's limits, this host included
  /// if it is in the region; at least 1, as limits are divided by this number.
  int LimitSharerCountIn(const std::string& region, Time now) const;

  /// @brief Number of hosts that share limits, by region, this host included.
  std::map<std::string, int> LimitSharerCountsByRegion(Time now) const;

  /// @brief Number of hosts that share limits, this host included.
  int LimitSharerCount(Time now) const;

  /// @brief Number of hosts alive now, this host included.
  int AliveCount(Time now) const;

  /// @brief Whether a listed host states another capacity than this host.
  bool HasUnlikeHosts() const;

  /// @brief Whether another living host that accepts callers has this
  /// configuration version, or a newer one, in force.
  bool OtherHasConfig(std::uint64_t version, Time now) const;

  /// @brief Hosts that callers may be sent to: living hosts that are not
  /// leaving, without isolated ones where their region has enough others. The
  /// pointers are valid until the table changes.
  std::vector<const HostInfo*> HostsAcceptingCallers(Time now) const;

 private:
  Duration TimeSinceSeen(const HostEntry& host, Time now) const;
  void Store(const HostEntry& host);
  static void RemoveIsolated(std::vector<const HostInfo*>& hosts);

  HostInfo self_;
  Duration heartbeat_timeout_;
  Time last_check_;  ///< time of the last CheckForStall
  Time stall_end_;   ///< end of the last stall of this host
  Duration stall_duration_{0};
  Duration unreported_stall_{0};
  std::map<std::string, HostEntry> others_;
  // The keys are incarnation ids (IncarnationId).
  std::map<std::uint64_t, std::string> names_by_incarnation_;
};

}  // namespace pathcleat
