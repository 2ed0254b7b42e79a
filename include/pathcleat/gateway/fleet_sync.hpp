// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <functional>

#include "pathcleat/feeds/change_journal.hpp"
#include "pathcleat/feeds/config_history.hpp"
#include "pathcleat/feeds/config_lag.hpp"
#include "pathcleat/feeds/peer_feed.hpp"
#include "pathcleat/feeds/relayed_source.hpp"
#include "pathcleat/feeds/source_watcher.hpp"
#include "pathcleat/gateway/gateway_state.hpp"

namespace pathcleat {

/// @brief What a host learns of the platform's tables: the configuration, the
/// drains and the list of upstreams. It keeps the host's tables up to date,
/// tells other hosts what it knows, and asks them when they know more.
/// @ingroup gateway
class FleetSync : private SnapshotProvider {
 public:
  /// @param store the platform's tables.
  /// @param on_config told of each configuration that comes into force.
  /// @param on_access told when the access to the store has changed.
  FleetSync(GatewayState& state,
            FleetSource& store,
            std::function<void(const RoutingConfig&)> on_config,
            std::function<void()> on_access);

  /// @brief Binds the address where other hosts ask.
  Result<void> Open(const std::string& address, std::uint16_t port);

  /// @brief Begins, once the other hosts are known by their rows: who reads
  /// the store goes by them. Further calls do nothing.
  void Start();

  /// @brief The key that seals what hosts tell each other.
  void SetKey(const std::string& key) { peers_.SetKey(key); }

  /// @brief Whether requests can be served by what is known.
  bool IsLoaded() const;

  /// @brief This host runs again after it had stood still: its watches may be
  /// lost.
  /// @param since when it last ran.
  void OnStallEnded(Time since);

  /// @brief How far this host has come, for its heartbeats.
  HostVersions Versions() const;

  /// @brief Another host, or a report of a failure domain, has told how far
  /// hosts have come.
  /// @param from name of the host or domain.
  void OnPeerVersions(const std::string& from, const HostVersions& versions);

  /// @brief When a topic was last heard of, also that nothing has changed.
  Time LastReceivedAt(SourceTopic topic) const {
    return WatcherOf(topic).answered_at();
  }

  /// @brief How far the configuration here is behind that of other hosts.
  const ConfigLag& config_lag() const { return lag_; }

  /// @brief Removes the upstreams whose entries have not come back.
  void Tick(Time now);

  /// @brief Tells no other host anything more: at a planned stop.
  void StopPublishing() { peers_.SetWatchingStore(false); }

 private:
  SourceWatcher& WatcherOf(SourceTopic topic);
  const SourceWatcher& WatcherOf(SourceTopic topic) const;
  std::uint64_t NewestVersion(SourceTopic topic) const override;
  FleetSnapshot MakeSnapshot(const FeedRequest& request) override;
  const RoutingConfig* Config() const override;
  void AddOrders(FleetSnapshot& snapshot, std::uint64_t known);
  void AddUpstreams(FleetSnapshot& snapshot, std::uint64_t after) const;
  void AskIfBehind(SourceTopic topic,
                   const std::string& from,
                   std::uint64_t changed);
  void AskBeside(SourceTopic topic, const FeedPeer& peer);
  void TakeBeside(SourceTopic topic,
                  const std::string& peer,
                  const FeedResponse& answer);
  void OnOrders(const SourceUpdate& update);
  void AdoptConfig(const RoutingConfig& config, const Transfer& transfer);
  void OnDrains(const SourceUpdate& update);
  void OnRollouts(const SourceUpdate& update);
  void OnUpstreams(const SourceUpdate& update);
  void OnUpstream(const UpstreamInfo& upstream, Time now);
  bool MayComeBack(const SourceUpdate& update, Time now) const;
  std::size_t CountGone(const SourceUpdate& update) const;
  void OnGone(const std::string& id, bool may_come_back, Time now);
  void BoundLapses(Time until);
  void RecordOfList(EventCode code, const std::string& upstream);
  void OnStore(bool reached, SourceTopic topic);
  void Distrust(SourceTopic topic, Time since);
  void OnAccess();

  GatewayState& state_;
  std::function<void(const RoutingConfig&)> on_config_;
  std::function<void()> on_access_;
  PeerFeed peers_;
  RelayedSource source_;
  SourceWatcher orders_;
  SourceWatcher upstream_list_;
  ConfigHistory config_history_;
  ConfigLag lag_;
  ChangeJournal upstream_journal_;
  Transfer list_transfer_;              ///< how the list's last changes came
  std::map<SourceTopic, bool> asking_;  ///< topics asked of a host beside
  bool started_ = false;
  bool store_lost_ = false;
  Time store_failed_;     ///< when it last failed a call
  Time unsettled_until_;  ///< entries may have lapsed while the store was away
};

}  // namespace pathcleat
