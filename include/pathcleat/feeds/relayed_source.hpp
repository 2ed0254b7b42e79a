// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "pathcleat/feeds/peer_feed.hpp"
#include "pathcleat/fleet/relay_choice.hpp"
#include "pathcleat/store/fleet_source.hpp"

namespace pathcleat {

/// @brief The platform's tables as this host learns them: from the store, or
/// from a host that watches it. Whom to ask is chosen anew at each call. Not
/// thread-safe.
/// @ingroup feeds
class RelayedSource : public FleetSource {
 public:
  /// @param hosts the fleet, to choose relays from.
  /// @param domains failure domains of the fleet.
  /// @param on_access told when the access to the store has changed.
  RelayedSource(FleetSource& store,
                PeerFeed& peers,
                const HostTable& hosts,
                int domains,
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

  /// @brief Whether another host is asked for the changes of a topic.
  bool FollowsPeer(SourceTopic topic) const { return watches_.contains(topic); }

  /// @brief How this host learns of changes now.
  StoreAccess store_access(Time now) const;

 private:
  RelayChoice Choose(Time now);
  bool AwaitsOthers(SourceTopic topic, Time now);
  void BeginWatch(const FeedPeer& peer,
                  const FeedRequest& request,
                  Callback callback);
  PeerFetchPtr AskPeer(const FeedPeer& peer,
                       const FeedRequest& request,
                       const Callback& callback);
  enum class CallKind { kRead, kWatch };
  Callback Noting(SourceTopic topic, CallKind kind, Callback callback);
  void NoteStore(SourceTopic topic, StoreOutcome outcome);
  bool IsFirstBreak(SourceTopic topic, CallKind kind, StoreOutcome outcome);
  void LeaveStore(SourceTopic topic);
  void TellIfChanged(StoreAccess before);

  FleetSource& store_;
  PeerFeed& peers_;
  const HostTable& hosts_;
  int domains_;
  std::function<void()> on_access_;
  std::map<std::string, Time> avoided_;          ///< peers, and until when
  std::map<SourceTopic, PeerFetchPtr> watches_;  ///< at other hosts
  std::map<SourceTopic, bool> at_store_;  ///< topics that the store answers
  std::set<SourceTopic> broken_;  ///< watches that ended without an answer
  std::map<SourceTopic, Time> waiting_since_;  ///< for others to have read
  std::optional<Time> store_failed_;
};

}  // namespace pathcleat
