// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "pathcleat/feeds/peer_feed.hpp"
#include "pathcleat/feeds/watch_schedule.hpp"
#include "pathcleat/fleet/relay_choice.hpp"
#include "pathcleat/store/fleet_source.hpp"

namespace pathcleat {

/// @brief Gets the platform's tables from the store, or from a host that
/// watches the store. The source is chosen again at each call (ChooseRelay).
/// Not thread-safe.
/// @ingroup feeds
class RelayedSource : public FleetSource {
 public:
  /// @param hosts the hosts of the fleet, from which relays are chosen.
  /// @param domains number of failure domains of the fleet.
  /// @param schedule limits how long watches of the store wait.
  /// @param on_access called when store_access has changed.
  RelayedSource(FleetSource& store,
                PeerFeed& peers,
                const HostTable& hosts,
                int domains,
                const WatchSchedule& schedule,
                std::function<void()> on_access);

  void Read(SourceTopic topic,
            const std::string& from,
            Callback callback) override;
  void Watch(SourceTopic topic,
             std::uint64_t after,
             Duration wait,
             Callback callback) override;
  void StopWatch(SourceTopic topic) override;
  std::optional<Time> WatchLastReceived(SourceTopic topic) const override;

  /// @brief Whether this host gets the changes of a topic from another host.
  bool FollowsPeer(SourceTopic topic) const {
    return peer_watches_.contains(topic);
  }

  /// @brief Whether this host follows another host about a topic because the
  /// store failed when the watch began, and is to watch the store by now.
  bool ShouldReturnToStore(SourceTopic topic, Time now);

  /// @brief When the store last answered a call about a topic; empty if never.
  std::optional<Time> StoreAnsweredAt(SourceTopic topic) const;

  /// @brief How this host gets changes now.
  StoreAccess store_access(Time now) const;

 private:
  // The store's last answer about a topic.
  struct StoreAnswer {
    Time arrived_at;
    /// Whether the answer came at the end of a wait, without changes.
    bool ended_wait = false;
  };

  bool IsStoreFailed(Time now) const;
  RelayChoice Choose(Time now);
  Duration LimitedWait(SourceTopic topic, Duration wait, Time now) const;
  bool ShouldAwaitOthers(SourceTopic topic, Time now);
  void StartPeerWatch(const FeedPeer& peer,
                      const FeedRequest& request,
                      Callback callback);
  PeerFetchPtr FetchFromPeer(const FeedPeer& peer,
                             const FeedRequest& request,
                             const Callback& callback);
  enum class CallKind { kRead, kPoll, kWatch };
  Callback WithStoreTracking(SourceTopic topic,
                             CallKind kind,
                             Callback callback);
  void RecordStoreOutcome(SourceTopic topic, StoreOutcome outcome);
  bool IsFirstBrokenWatch(SourceTopic topic,
                          CallKind kind,
                          StoreOutcome outcome);
  void StopUsingStore(SourceTopic topic);
  void NotifyIfAccessChanged(StoreAccess before);

  FleetSource& store_;
  PeerFeed& peers_;
  const HostTable& hosts_;
  int domains_;
  const WatchSchedule& schedule_;
  std::function<void()> on_access_;
  std::map<std::string, Time> avoided_peers_;  ///< address -> end of avoidance
  std::map<SourceTopic, PeerFetchPtr> peer_watches_;  ///< watches in flight
  /// By topic: the store answered the last call, and the topic still comes from
  /// the store.
  std::map<SourceTopic, bool> store_answers_;
  std::map<SourceTopic, StoreAnswer> last_answers_;
  /// Topics that come from another host because the store failed.
  std::set<SourceTopic> away_from_store_;
  /// Topics whose last watch at the store got no answer.
  std::set<SourceTopic> broken_watches_;
  /// By topic: since when this host has waited for other hosts to read the
  /// topic.
  std::map<SourceTopic, Time> waiting_since_;
  std::optional<Time> store_failed_at_;
};

}  // namespace pathcleat
