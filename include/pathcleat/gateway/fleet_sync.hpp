// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <functional>

#include "pathcleat/calls/forward_token.hpp"
#include "pathcleat/feeds/change_journal.hpp"
#include "pathcleat/feeds/config_history.hpp"
#include "pathcleat/feeds/config_lag.hpp"
#include "pathcleat/feeds/peer_feed.hpp"
#include "pathcleat/feeds/relayed_source.hpp"
#include "pathcleat/feeds/source_watcher.hpp"
#include "pathcleat/feeds/unreadable_row_log.hpp"
#include "pathcleat/feeds/watch_schedule.hpp"
#include "pathcleat/gateway/gateway_state.hpp"

namespace pathcleat {

/// @brief Updates the host's configuration, drains, rollouts and list of
/// upstreams when the tables of the platform change. Watches the store or
/// another host, publishes this host's state to other hosts, and fetches
/// updates from a host that has a newer version.
/// @ingroup gateway
class FleetSync : private SnapshotProvider {
 public:
  /// @param store the tables of the platform, which hold the configuration, the
  /// orders and the list of upstreams.
  /// @param on_config called with each configuration that is applied.
  /// @param on_access called when this host's access to the store has changed.
  FleetSync(GatewayState& state,
            FleetSource& store,
            std::function<void(const RoutingConfig&)> on_config,
            std::function<void()> on_access);

  /// @brief Starts to answer other hosts, once the peer server listens.
  void StartFeed() { peer_feed_.Start(); }

  /// @brief Starts the watches, once the rows of the other hosts are loaded:
  /// these rows decide which hosts read the store. Further calls do nothing.
  void Start();

  /// @brief Sets the key that authenticates messages between hosts.
  void SetKey(const std::string& key) { peer_feed_.SetKey(key); }

  /// @brief Sets what handles callers' requests that other hosts forward.
  void SetForwardHandler(HttpExchangeHandler handler) {
    peer_feed_.SetHandler(kForwardHeader, std::move(handler));
  }

  /// @brief The server for other hosts, to open it and to set its limits.
  HttpServer& peer_server() { return peer_feed_.server(); }

  /// @brief Whether a configuration and a list of upstreams are loaded, so that
  /// requests can be served.
  bool IsLoaded() const;

  /// @brief Called when this host runs again after a stall: its watches at
  /// the store may be lost and are restarted.
  /// @param since when this host last ran before the stall.
  void OnStallEnded(Time since);

  /// @brief The versions of configuration, orders and upstream list that this
  /// host has, for its heartbeats.
  HostVersions Versions() const;

  /// @brief Called with the versions that another host, or the report of a
  /// failure domain, has published.
  /// @param from name of the host or domain.
  void OnPeerVersions(const std::string& from, const HostVersions& versions);

  /// @brief The time of the source's last answer about a topic, also if the
  /// answer said that nothing had changed.
  Time LastReceivedAt(SourceTopic topic) const {
    return WatcherOf(topic).answered_at();
  }

  /// @brief When the store last answered this host about a topic; empty if
  /// never.
  std::optional<Time> StoreAnsweredAt(SourceTopic topic) const {
    return source_.StoreAnsweredAt(topic);
  }

  /// @brief When the store last answered any host of the fleet about a topic,
  /// as far as this host has heard; empty if never.
  std::optional<Time> FleetAnsweredAt(SourceTopic topic) const;

  /// @brief Number of watches of a topic that were given up without an answer.
  std::uint64_t WatchRestarts(SourceTopic topic) const {
    return WatcherOf(topic).restarts();
  }

  /// @brief Applies a changed bound on the contact with the store.
  void SetContact(Duration contact) { watch_schedule_.SetContact(contact); }

  /// @brief How far the configuration of this host is behind that of other
  /// hosts.
  const ConfigLag& config_lag() const { return config_lag_; }

  /// @brief Removes the upstreams whose entries lapsed and were not listed
  /// again in time, and restarts the watches that the store may never answer.
  void Tick(Time now);

  /// @brief Stops publishing updates to other hosts, at a planned stop.
  void StopPublishing() { peer_feed_.SetWatchingStore(false); }

 private:
  SourceWatcher& WatcherOf(SourceTopic topic);
  const SourceWatcher& WatcherOf(SourceTopic topic) const;
  std::uint64_t NewestVersion(SourceTopic topic) const override;
  FleetSnapshot MakeSnapshot(const FeedRequest& request) override;
  const RoutingConfig* Config() const override;
  void AddOrders(FleetSnapshot& snapshot, std::uint64_t known);
  void AddUpstreams(FleetSnapshot& snapshot, std::uint64_t after) const;
  void FetchIfBehind(SourceTopic topic,
                     const std::string& from,
                     std::uint64_t changed);
  void FetchFromPeer(SourceTopic topic, const FeedPeer& peer);
  void ApplyPeerResponse(SourceTopic topic,
                         const std::string& peer,
                         const FeedResponse& answer);
  void OnOrders(const SourceUpdate& update);
  void ApplyConfig(const RoutingConfig& config, const Transfer& transfer);
  void OnDrains(const SourceUpdate& update);
  void OnRollouts(const SourceUpdate& update);
  void OnUpstreams(const SourceUpdate& update);
  void ApplyUpstreams(const SourceUpdate& update);
  void OnUnreadableUpstream(const UnreadableRow& row,
                            std::uint64_t version,
                            Time now);
  void RecordUnreadable(SourceTopic topic, const UnreadableRow& row);
  void OnUpstreamListed(const UpstreamInfo& upstream, Time now);
  bool MayBeRelisted(const SourceUpdate& update, Time now) const;
  std::size_t CountRemoved(const SourceUpdate& update) const;
  void OnUpstreamRemoved(const std::string& id, bool may_be_relisted, Time now);
  void LimitLapseDeadlines(Time until);
  void RecordListEvent(EventCode code,
                       const std::string& upstream,
                       EventFields more_fields);
  void OnStoreReachability(bool reached, SourceTopic topic);
  void RestartWatchIfOlder(SourceTopic topic, Time since);
  void NotePeerAnswers(const HostVersions& versions, Time now);
  void RestartOverdueWatch(SourceTopic topic, Time now);
  void OnAccessChanged();

  GatewayState& state_;
  std::function<void(const RoutingConfig&)> on_config_;
  std::function<void()> on_access_;
  PeerFeed peer_feed_;
  WatchSchedule watch_schedule_;
  RelayedSource source_;
  SourceWatcher orders_watcher_;
  SourceWatcher upstreams_watcher_;
  ConfigHistory config_history_;
  ConfigLag config_lag_;
  ChangeJournal upstream_journal_;
  UnreadableRowLog unreadable_rows_;
  Transfer last_list_transfer_;  ///< of the last upstream list update
  /// Whether a fetch from another host is in flight, by topic.
  std::map<SourceTopic, bool> is_fetching_;
  std::map<std::string, Time> gone_at_;  ///< by id of a removed upstream
  /// When the store last answered another host, by topic.
  std::map<SourceTopic, Time> peers_answered_at_;
  /// Share of the longest delay that this host adds before its next restart of
  /// an overdue watch, by topic.
  std::map<SourceTopic, double> restart_delay_share_;
  bool started_ = false;
  bool store_lost_ = false;
  Time store_failed_at_;  ///< when a call to the store last failed
  /// Until this time, upstreams whose entries lapsed while the store was
  /// unreachable may be listed again.
  Time removals_uncertain_until_;
};

}  // namespace pathcleat
