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

/// @brief New data of a topic, as given to a watcher's handler.
/// @ingroup feeds
struct SourceUpdate {
  bool is_full = false;  ///< complete: entries that are not listed are gone
  std::uint64_t version = 0;  ///< version up to which the data is complete
  /// Version of the newest change in the update; 0: the update has no changes.
  std::uint64_t newest_change_version = 0;
  bool relayed = false;  ///< received from another host, not from the store
  /// Missing entries may have expired instead of having been removed.
  bool removals_uncertain = false;
  Transfer transfer;  ///< source, size and duration
  std::vector<FleetChange> changes;
};

/// @brief Follows one topic of a source: reads all of it, then watches it for
/// changes. After a failure the watch continues from the last version; if the
/// source no longer has the changes since that version, the watcher reads all
/// of the topic again. So it does after an answer that could not be read, and
/// while the store gives no configuration or no upstream at all. A version that
/// the store shows never to have existed is given up.
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
                ReachabilityHandler on_reachability);

  void Start();

  /// @brief Records a version that another host has seen. If this host does not
  /// see that version soon, it considers its watch dead and restarts it.
  void OnPeerVersion(std::uint64_t version, Time now);

  /// @brief Restarts a watch that began before `since`: the store may never
  /// answer it. The restarted watch does not wait for changes until a call has
  /// been answered.
  /// @return whether a watch was restarted: a read, or a call after a failure,
  /// is not.
  bool RestartIfOlderThan(Time since);

  /// @brief Handles an answer that another host gave to a fetch made in
  /// parallel to the watch, if it is newer than the data of this host. The
  /// watch then continues from the answer's version.
  /// @return whether the answer was newer.
  bool ApplyIfNewer(const SourceAnswer& answer);

  /// @brief Whether other hosts have had a newer version for long enough that
  /// this host should fetch the topic from them.
  bool IsBehind(std::uint64_t peer_version, Time now) const;

  /// @brief Version up to which this host has the topic.
  std::uint64_t version() const { return version_; }

  /// @brief Version of the newest change that this host has seen.
  std::uint64_t newest_change_version() const { return newest_change_version_; }

  /// @brief How long other hosts had been known to have a newer version when
  /// the last update arrived; empty if none had been.
  std::optional<Duration> last_lag() const { return last_lag_; }

  /// @brief Time of the last answer, from the store or from another host.
  Time answered_at() const { return answered_at_; }

  /// @brief When the last watch began.
  Time watch_started_at() const { return watch_started_at_; }

  /// @brief Number of watches that were restarted without an answer.
  std::uint64_t restarts() const { return restarts_; }

  /// @brief Whether the store answered the last call to it.
  bool IsStoreReachable() const { return store_reachable_; }

  /// @brief Whether the whole topic has been read at least once.
  bool IsLoaded() const { return loaded_; }

 private:
  void Read(const std::string& from);
  void OnRead(const SourceAnswer& answer);
  void OnTopicRead(const SourceAnswer& read);
  bool CheckRead(const SourceAnswer& read, bool is_empty, Time now);
  void ScheduleReread(Time now);
  void RejectVersion(std::uint64_t version);
  bool IsRejected(std::uint64_t version) const;
  bool HasRejectedVersion(const SourceAnswer& answer);
  bool DisprovesVersion(const SourceAnswer& answer);
  Duration WatchTime(Time now) const;
  void Watch();
  void RestartWatch();
  void OnWatchAnswer(const SourceAnswer& answer);
  void WatchAfterRelayed(const SourceAnswer& answer, Time now);
  void RetryAfterBackoff(std::function<void()> next);
  void RunAfter(Duration pause, std::function<void()> next);
  FleetSource::Callback ForCurrentGeneration(
      void (SourceWatcher::*handler)(const SourceAnswer&));
  void Handle(const SourceAnswer& answer, bool is_full);
  void RecordOutcome(const SourceAnswer& answer);
  Time LastProgressTime() const;

  FleetSource& source_;
  SourceTopic topic_;
  const Timing& timing_;
  Handler handler_;
  ReachabilityHandler on_reachability_;
  boost::asio::steady_timer timer_;
  SourceAnswer collected_pages_;  ///< read so far by the read in progress
  std::string page_from_;         ///< start of the page that is being read
  std::uint64_t first_page_version_ = 0;
  std::uint64_t version_ = 0;
  std::uint64_t version_before_read_ = 0;  ///< when the read in progress began
  std::uint64_t watched_after_ = 0;        ///< version of the watch in flight
  /// Versions from this one on are accepted from the store only; empty: all are
  /// accepted. Set when the store has shown a version not to exist.
  std::optional<std::uint64_t> rejected_from_;
  /// When to read the whole topic again; empty: the last read was complete.
  std::optional<Time> reread_at_;
  /// Since when reads from the store have been empty or partly unreadable.
  std::optional<Time> incomplete_since_;
  /// Since when reads from the store have had no essential row; empty: the last
  /// one had one.
  std::optional<Time> empty_since_;
  /// Whether rows were unreadable since the last complete read, so that another
  /// host's changes alone would not complete the topic.
  bool misses_rows_ = false;
  /// Whether a configuration or an upstream, by topic, has arrived so far.
  bool has_essential_ = false;
  std::uint64_t newest_change_version_ = 0;
  int failures_ = 0;
  std::uint64_t generation_ = 0;  ///< callbacks of older calls are ignored
  std::optional<Time> behind_since_;
  std::optional<Duration> last_lag_;
  Time last_restart_;  ///< when a watch last counted as dead
  Time watch_started_at_;
  std::uint64_t restarts_ = 0;
  Time answered_at_;
  /// Whether the last call got no answer, or the last watch counted as dead.
  bool last_call_failed_ = false;
  bool reading_ = false;          ///< a read of the whole topic is in progress
  bool store_reachable_ = false;  ///< the last call to the store was answered
  /// Whether the store or another host answered the last call.
  bool last_call_answered_ = false;
  bool loaded_ = false;
  bool history_gone_ = false;  ///< the last watch found its history gone
};

}  // namespace pathcleat
