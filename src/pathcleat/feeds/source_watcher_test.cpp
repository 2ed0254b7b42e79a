// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/feeds/source_watcher.hpp"

#include <vector>

#include "event_loop.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

// A source whose answers the test gives by hand.
class HandSource : public FleetSource {
 public:
  void Read(SourceTopic, const std::string&, Callback callback) override {
    reads.push_back(std::move(callback));
  }
  void Watch(SourceTopic,
             std::uint64_t after,
             Duration wait,
             Callback callback) override {
    watched_after = after;
    watched_for = wait;
    watches.push_back(std::move(callback));
  }

  void StopWatch(SourceTopic) override { ++stopped; }
  std::optional<Time> WatchLastReceived(SourceTopic) const override {
    return heard;
  }

  std::vector<Callback> reads;
  std::vector<Callback> watches;
  std::uint64_t watched_after = 0;
  Duration watched_for{0};
  int stopped = 0;  ///< watches given up
  std::optional<Time> heard;
};

struct WatcherWorld {
  WatcherWorld()
      : watcher(
            loop,
            source,
            SourceTopic::kUpstreams,
            [this](const SourceUpdate& update) { updates.push_back(update); },
            [](bool) {}) {
    watcher.Start();
  }

  static SourceAnswer Done(std::uint64_t version,
                           std::vector<FleetChange> changes = {}) {
    SourceAnswer answer;
    answer.outcome = StoreOutcome::kDone;
    answer.changes = std::move(changes);
    answer.version = version;
    answer.newest_change_version = answer.changes.empty() ? 0 : version;
    return answer;
  }

  boost::asio::io_context loop{1};
  HandSource source;
  std::vector<SourceUpdate> updates;
  SourceWatcher watcher;
};

Test(source_watcher, reads_whole_then_watches_from_there) {
  WatcherWorld world;
  world.source.reads.back()(WatcherWorld::Done(7));
  cr_assert_eq(world.updates.size(), 1U);
  cr_assert(world.updates[0].is_full);
  cr_assert_eq(world.source.watched_after, 7U);
  world.source.watches.back()(WatcherWorld::Done(9, {UpstreamGone{"u"}}));
  cr_assert_not(world.updates[1].is_full);
  cr_assert_eq(world.watcher.newest_change_version(), 9U);
  cr_assert(
      WaitUntil(world.loop, [&] { return world.source.watched_after == 9U; }));
}

// A watch whose answer came slowly was begun anew, the first one's bytes came
// on beside the second's, and its relay was avoided (issue 22). Checked to fail
// with WatchHeard out of TrustedSince and of IsBehind.
Test(source_watcher, watch_whose_answer_comes_is_waited_for) {
  WatcherWorld world;
  world.source.reads.back()(WatcherWorld::Done(7));
  const Time now{Duration(1'000'000)};
  const Duration step{600'000};
  world.watcher.OnPeerVersion(8, now);
  for (int i = 1; i < 9; ++i) {
    world.source.heard = now + i * step - Duration(100'000);
    world.watcher.OnPeerVersion(8, now + i * step);
    cr_assert_not(world.watcher.IsBehind(8, now + i * step));
  }
  cr_assert_eq(world.source.watches.size(), 1U);
  world.watcher.OnPeerVersion(8, now + 10 * step);
  cr_assert_eq(world.source.watches.size(), 2U);
  cr_assert_eq(world.source.stopped, 1);
}

// Guards against a long watch that is begun while the store is silent: the
// store may have taken it and never answer it.
Test(source_watcher, watch_after_a_failure_does_not_wait_for_changes) {
  WatcherWorld world;
  world.source.reads.back()(WatcherWorld::Done(7));
  cr_assert_gt(world.source.watched_for.count(), 0);
  world.source.watches.back()(SourceAnswer());
  cr_assert(
      WaitUntil(world.loop, [&] { return world.source.watches.size() == 2U; }));
  cr_assert_eq(world.source.watched_for.count(), 0);
  world.source.watches.back()(WatcherWorld::Done(7));
  cr_assert_eq(world.source.watches.size(), 3U);
  cr_assert_gt(world.source.watched_for.count(), 0);
}

Test(source_watcher, lost_history_is_read_whole_again) {
  WatcherWorld world;
  world.source.reads.back()(WatcherWorld::Done(7));
  SourceAnswer gone;
  gone.outcome = StoreOutcome::kHistoryGone;
  world.source.watches.back()(gone);
  cr_assert_eq(world.source.reads.size(), 2U);
}

// A whole reading that took longer than a watch may be silent was dropped for
// a watch, which told again that history is lost: the whole was sent again and
// again, and never taken. Checked to fail with reading_ out of OnPeerVersion.
Test(source_watcher, whole_reading_is_not_begun_anew_when_peers_know_more) {
  WatcherWorld world;
  world.source.reads.back()(WatcherWorld::Done(7));
  SourceAnswer gone;
  gone.outcome = StoreOutcome::kHistoryGone;
  world.source.watches.back()(gone);
  const Time now{Duration(1'000'000)};
  world.watcher.OnPeerVersion(8, now);
  world.watcher.OnPeerVersion(8, now + Duration(2'000'000));
  cr_assert_eq(world.source.watches.size(), 1U);
  // Others are still asked beside it.
  cr_assert(world.watcher.IsBehind(8, now + Duration(2'000'000)));
  world.source.reads.back()(WatcherWorld::Done(8));
  cr_assert_eq(world.updates.size(), 2U);
  cr_assert_eq(world.source.watched_after, 8U);
}

// A watch begun before a peer told more would bring back what has since
// gone. Checked to fail with the comparison in OnWatch taken out.
Test(source_watcher, answer_older_than_what_a_peer_told_is_dropped) {
  WatcherWorld world;
  world.source.reads.back()(WatcherWorld::Done(7));
  cr_assert(
      world.watcher.ApplyIfNewer(WatcherWorld::Done(20, {UpstreamGone{"u"}})));
  cr_assert_not(world.watcher.ApplyIfNewer(WatcherWorld::Done(19)));
  UpstreamInfo removed_since;
  removed_since.id = "gone";
  world.source.watches.back()(WatcherWorld::Done(9, {removed_since}));
  cr_assert_eq(world.updates.size(), 2U);
  cr_assert(
      WaitUntil(world.loop, [&] { return world.source.watched_after == 20U; }));
}

Test(source_watcher, silent_watch_is_begun_anew_when_peers_know_more) {
  WatcherWorld world;
  world.source.reads.back()(WatcherWorld::Done(7));
  const Time now{Duration(1'000'000)};
  world.watcher.OnPeerVersion(8, now);
  cr_assert_eq(world.source.watches.size(), 1U);
  world.watcher.OnPeerVersion(8, now + Duration(2'000'000));
  cr_assert_eq(world.source.watches.size(), 2U);
  // The answer to the watch given up does not count any more.
  world.source.watches.front()(WatcherWorld::Done(8, {UpstreamGone{"u"}}));
  cr_assert_eq(world.updates.size(), 1U);
  world.source.watches.back()(WatcherWorld::Done(8, {UpstreamGone{"u"}}));
  cr_assert_eq(world.updates.size(), 2U);
}

// Pages are as of different moments: the watch begins at the first one's.
// A peer that knows less than another must not hide that this host is behind:
// followers of one dead relay all know the same.
Test(source_watcher, peer_that_is_behind_too_hides_nothing) {
  WatcherWorld world;
  world.source.reads.back()(WatcherWorld::Done(7));
  const Time now{Duration(1'000'000)};
  for (int i = 0; i < 10; ++i) {
    const Time at = now + i * Duration(100'000);
    world.watcher.OnPeerVersion(8, at);
    world.watcher.OnPeerVersion(7, at);
  }
  cr_assert(world.watcher.IsBehind(8, now + Duration(1'000'000)));
  cr_assert_eq(world.source.watches.size(), 2U);
}

// Each answer of the store is paid for; a series of changes needs few.
Test(source_watcher, changes_in_series_are_gathered) {
  WatcherWorld world;
  world.source.reads.back()(WatcherWorld::Done(7));
  world.source.watches.back()(WatcherWorld::Done(8, {UpstreamGone{"a"}}));
  cr_assert_eq(world.updates.size(), 2U);
  cr_assert_eq(world.source.watches.size(), 1U);
  // What another host answers costs nothing, and is asked for at once.
  cr_assert(
      WaitUntil(world.loop, [&] { return world.source.watches.size() == 2U; }));
  SourceAnswer relayed = WatcherWorld::Done(9, {UpstreamGone{"b"}});
  relayed.relayed = true;
  world.source.watches.back()(relayed);
  cr_assert_eq(world.source.watches.size(), 3U);
}

// A relay's pause must look like no failure to those that it tells. Checked to
// fail with ask_after of the list at 0.4 s.
Test(source_watcher, pause_of_a_relay_is_no_reason_to_ask_others) {
  WatcherWorld world;
  world.source.reads.back()(WatcherWorld::Done(7));
  const Time now{Duration(1'000'000)};
  for (int i = 0; i <= 5; ++i) {
    world.watcher.OnPeerVersion(8, now + i * Duration(100'000));
  }
  cr_assert_not(world.watcher.IsBehind(8, now + Duration(500'000)));
  cr_assert_eq(world.source.watches.size(), 1U);
  cr_assert(world.watcher.IsBehind(8, now + Duration(700'000)));
}

Test(source_watcher, watch_begins_at_the_first_page) {
  WatcherWorld world;
  SourceAnswer first = WatcherWorld::Done(7, {UpstreamGone{"a"}});
  first.next_page = "b";
  world.source.reads.back()(first);
  world.source.reads.back()(WatcherWorld::Done(11, {UpstreamGone{"b"}}));
  cr_assert_eq(world.source.watched_after, 7U);
  cr_assert_eq(world.updates[0].changes.size(), 2U);
}

}  // namespace
}  // namespace pathcleat
