// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "pathcleat/store/fleet_source.hpp"

namespace pathcleat {

/// @brief What a watcher tells of its topic.
/// @ingroup feeds
struct SourceUpdate {
  bool is_full = false;       ///< all there is; what it lacks is gone
  std::uint64_t version = 0;  ///< up to which the topic is known with it
  std::uint64_t newest_change_version =
      0;                            ///< of the newest change in it, or 0
  bool relayed = false;             ///< another host told it, not the store
  bool removals_uncertain = false;  ///< what is gone may have lapsed by itself
  Transfer transfer;                ///< how it came here
  std::vector<FleetChange> changes;
};

/// @brief Keeps up with one topic of the source: reads it whole, then watches
/// it; after a failure it goes on from where it was, after history was lost
/// it reads it whole again.
/// @ingroup feeds
class SourceWatcher {
 public:
  using Handler = std::function<void(const SourceUpdate&)>;
  using ReachabilityHandler = std::function<void(bool reached)>;
  struct Timing;

  SourceWatcher(boost::asio::io_context& loop,
                FleetSource& source,
                SourceTopic topic,
                Handler handler,
                ReachabilityHandler observer);

  void Start();

  /// @brief Another host has seen this version. If this one does not see it
  /// either before long, its watch is taken for dead and begun anew.
  void OnPeerVersion(std::uint64_t version, Time now);

  /// @brief What was begun before this time may have been lost, as the store
  /// failed another call then, or this host stood still from then on: such a
  /// watch is begun anew.
  void RestartIfOlderThan(Time since);

  /// @brief Another host, asked beside the watch, has answered. What is new in
  /// it is handled, and the watch goes on from there.
  /// @return whether it was newer than what is known here.
  bool ApplyIfNewer(const SourceAnswer& answer);

  /// @brief Whether others have known more than this host for a while, so
  /// that it had better ask them.
  bool IsBehind(std::uint64_t peer_version, Time now) const;

  /// @brief Version up to which the topic is known here.
  std::uint64_t version() const { return version_; }

  /// @brief Version of the newest change that was seen.
  std::uint64_t newest_change_version() const { return changed_; }

  /// @brief When a call was last answered, by whomever.
  Time answered_at() const { return answered_at_; }

  /// @brief Whether the last call was answered.
  bool IsStoreReachable() const { return reached_; }

  /// @brief Whether the topic has been read whole once.
  bool IsLoaded() const { return loaded_; }

 private:
  void Read(const std::string& from);
  void OnRead(const SourceAnswer& answer);
  void Watch();
  void WatchAnew();
  void OnWatch(const SourceAnswer& answer);
  void Pause(std::function<void()> next);
  void PauseFor(Duration pause, std::function<void()> next);
  FleetSource::Callback Current(
      void (SourceWatcher::*handler)(const SourceAnswer&));
  void Handle(const SourceAnswer& answer, bool whole);
  void Note(const SourceAnswer& answer);
  Time TrustedSince() const;

  FleetSource& source_;
  SourceTopic topic_;
  const Timing& pace_;
  Handler handler_;
  ReachabilityHandler observer_;
  boost::asio::steady_timer timer_;
  SourceAnswer page_;  ///< of a reading under way
  std::uint64_t first_page_version_ = 0;
  std::uint64_t version_ = 0;
  std::uint64_t changed_ = 0;
  int failures_ = 0;
  std::uint64_t generation_ = 0;  ///< of the calls that count
  std::optional<Time> behind_since_;
  Time begun_anew_;  ///< when a watch was last taken for dead
  Time watch_began_;
  Time answered_at_;
  bool in_doubt_ = false;  ///< the last call failed, or was taken for dead
  bool reading_ = false;   ///< the topic whole, page by page
  bool reached_ = false;   ///< the store, by the last call to it
  bool answered_ = false;  ///< the last call, by whomever
  bool loaded_ = false;
};

}  // namespace pathcleat
