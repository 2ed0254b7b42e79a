// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/feeds/source_watcher.hpp"

#include <chrono>
#include <stdexcept>
#include <thread>
#include <vector>

#include "event_loop.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

// A source whose calls the test answers itself.
class FakeSource : public FleetSource {
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

  void StopWatch(SourceTopic) override { ++stopped_watches; }
  std::optional<Time> WatchLastReceived(SourceTopic) const override {
    return last_received;
  }

  std::vector<Callback> reads;
  std::vector<Callback> watches;
  std::uint64_t watched_after = 0;
  Duration watched_for{0};
  int stopped_watches = 0;
  std::optional<Time> last_received;
};

struct WatcherFixture {
  WatcherFixture()
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
  FakeSource source;
  std::vector<SourceUpdate> updates;
  SourceWatcher watcher;
};

Test(source_watcher, reads_whole_then_watches_from_there) {
  WatcherFixture fixture;
  fixture.source.reads.back()(WatcherFixture::Done(7));
  cr_assert_eq(fixture.updates.size(), 1U);
  cr_assert(fixture.updates[0].is_full);
  cr_assert_eq(fixture.source.watched_after, 7U);
  fixture.source.watches.back()(
      WatcherFixture::Done(9, {UpstreamRemoval{"u"}}));
  cr_assert_not(fixture.updates[1].is_full);
  cr_assert_eq(fixture.watcher.newest_change_version(), 9U);
  cr_assert(WaitUntil(fixture.loop,
                      [&] { return fixture.source.watched_after == 9U; }));
}

// A watch whose answer arrived slowly was restarted: both answers then shared
// the link, and the relay was avoided. Fails without WatchLastReceived in
// LastProgressTime and IsBehind.
Test(source_watcher, watch_whose_answer_arrives_is_not_restarted) {
  WatcherFixture fixture;
  fixture.source.reads.back()(WatcherFixture::Done(7));
  const Time now{Duration(1'000'000)};
  const Duration step{600'000};
  fixture.watcher.OnPeerVersion(8, now);
  for (int i = 1; i < 9; ++i) {
    fixture.source.last_received = now + i * step - Duration(100'000);
    fixture.watcher.OnPeerVersion(8, now + i * step);
    cr_assert_not(fixture.watcher.IsBehind(8, now + i * step));
  }
  cr_assert_eq(fixture.source.watches.size(), 1U);
  fixture.watcher.OnPeerVersion(8, now + 10 * step);
  cr_assert_eq(fixture.source.watches.size(), 2U);
  cr_assert_eq(fixture.source.stopped_watches, 1);
}

// Guards against a watch that waits for changes while the store does not
// answer: the store may accept the call and never answer it.
Test(source_watcher, watch_after_a_failure_does_not_wait_for_changes) {
  WatcherFixture fixture;
  fixture.source.reads.back()(WatcherFixture::Done(7));
  cr_assert_gt(fixture.source.watched_for.count(), 0);
  fixture.source.watches.back()(SourceAnswer());
  cr_assert(WaitUntil(fixture.loop,
                      [&] { return fixture.source.watches.size() == 2U; }));
  cr_assert_eq(fixture.source.watched_for.count(), 0);
  fixture.source.watches.back()(WatcherFixture::Done(7));
  cr_assert_eq(fixture.source.watches.size(), 3U);
  cr_assert_gt(fixture.source.watched_for.count(), 0);
}

Test(source_watcher, whole_topic_is_read_again_after_lost_history) {
  WatcherFixture fixture;
  fixture.source.reads.back()(WatcherFixture::Done(7));
  SourceAnswer history_gone;
  history_gone.outcome = StoreOutcome::kHistoryGone;
  fixture.source.watches.back()(history_gone);
  cr_assert_eq(fixture.source.reads.size(), 2U);
}

// A read of the whole topic that took longer than the time after which a watch
// counts as dead was replaced by a watch, which again reported lost history:
// the topic was sent again and again, and never used. Fails without the check
// of reading_ in OnPeerVersion.
Test(source_watcher, whole_read_is_not_restarted_when_peers_have_more) {
  WatcherFixture fixture;
  fixture.source.reads.back()(WatcherFixture::Done(7));
  SourceAnswer history_gone;
  history_gone.outcome = StoreOutcome::kHistoryGone;
  fixture.source.watches.back()(history_gone);
  const Time now{Duration(1'000'000)};
  fixture.watcher.OnPeerVersion(8, now);
  fixture.watcher.OnPeerVersion(8, now + Duration(2'000'000));
  cr_assert_eq(fixture.source.watches.size(), 1U);
  // The host still fetches from peers in parallel.
  cr_assert(fixture.watcher.IsBehind(8, now + Duration(2'000'000)));
  fixture.source.reads.back()(WatcherFixture::Done(8));
  cr_assert_eq(fixture.updates.size(), 2U);
  cr_assert_eq(fixture.source.watched_after, 8U);
}

// The answer to a watch that began before newer data came from a peer would
// restore entries that have been removed since. Fails without the comparison of
// versions in OnWatchAnswer.
Test(source_watcher, answer_older_than_data_from_a_peer_is_ignored) {
  WatcherFixture fixture;
  fixture.source.reads.back()(WatcherFixture::Done(7));
  cr_assert(fixture.watcher.ApplyIfNewer(
      WatcherFixture::Done(20, {UpstreamRemoval{"u"}})));
  cr_assert_not(fixture.watcher.ApplyIfNewer(WatcherFixture::Done(19)));
  UpstreamInfo removed_since;
  removed_since.id = "gone";
  fixture.source.watches.back()(WatcherFixture::Done(9, {removed_since}));
  cr_assert_eq(fixture.updates.size(), 2U);
  cr_assert(WaitUntil(fixture.loop,
                      [&] { return fixture.source.watched_after == 20U; }));
}

Test(source_watcher, silent_watch_is_restarted_when_peers_have_more) {
  WatcherFixture fixture;
  fixture.source.reads.back()(WatcherFixture::Done(7));
  const Time now{Duration(1'000'000)};
  fixture.watcher.OnPeerVersion(8, now);
  cr_assert_eq(fixture.source.watches.size(), 1U);
  fixture.watcher.OnPeerVersion(8, now + Duration(2'000'000));
  cr_assert_eq(fixture.source.watches.size(), 2U);
  // The answer to the abandoned watch is ignored.
  fixture.source.watches.front()(
      WatcherFixture::Done(8, {UpstreamRemoval{"u"}}));
  cr_assert_eq(fixture.updates.size(), 1U);
  fixture.source.watches.back()(
      WatcherFixture::Done(8, {UpstreamRemoval{"u"}}));
  cr_assert_eq(fixture.updates.size(), 2U);
}

// A report of an older version by one peer must not reset the lag of this host:
// all followers of a dead relay have the same old version.
Test(source_watcher, peer_that_is_behind_too_does_not_reset_the_lag) {
  WatcherFixture fixture;
  fixture.source.reads.back()(WatcherFixture::Done(7));
  const Time now{Duration(1'000'000)};
  for (int i = 0; i < 10; ++i) {
    const Time at = now + i * Duration(100'000);
    fixture.watcher.OnPeerVersion(8, at);
    fixture.watcher.OnPeerVersion(7, at);
  }
  cr_assert(fixture.watcher.IsBehind(8, now + Duration(1'000'000)));
  cr_assert_eq(fixture.source.watches.size(), 2U);
}

// Each answer of the store is billed, so a series of changes must be fetched
// with few answers.
Test(source_watcher, changes_in_series_are_batched) {
  WatcherFixture fixture;
  fixture.source.reads.back()(WatcherFixture::Done(7));
  fixture.source.watches.back()(
      WatcherFixture::Done(8, {UpstreamRemoval{"a"}}));
  cr_assert_eq(fixture.updates.size(), 2U);
  cr_assert_eq(fixture.source.watches.size(), 1U);
  // Answers of other hosts are not billed, so the next watch starts at once.
  cr_assert(WaitUntil(fixture.loop,
                      [&] { return fixture.source.watches.size() == 2U; }));
  SourceAnswer relayed = WatcherFixture::Done(9, {UpstreamRemoval{"b"}});
  relayed.relayed = true;
  fixture.source.watches.back()(relayed);
  cr_assert_eq(fixture.source.watches.size(), 3U);
}

// The pause of a relay after a change must not look like a failure to its
// followers. Fails with fetch_from_peers_after of kUpstreamsTiming at 0.4 s.
Test(source_watcher, pause_of_a_relay_is_no_reason_to_fetch_from_others) {
  WatcherFixture fixture;
  fixture.source.reads.back()(WatcherFixture::Done(7));
  const Time now{Duration(1'000'000)};
  for (int i = 0; i <= 5; ++i) {
    fixture.watcher.OnPeerVersion(8, now + i * Duration(100'000));
  }
  cr_assert_not(fixture.watcher.IsBehind(8, now + Duration(500'000)));
  cr_assert_eq(fixture.source.watches.size(), 1U);
  cr_assert(fixture.watcher.IsBehind(8, now + Duration(700'000)));
}

// Pages have different versions: a watch from a later page's version would miss
// changes to entries of earlier pages.
Test(source_watcher, watch_begins_at_the_version_of_the_first_page) {
  WatcherFixture fixture;
  SourceAnswer first = WatcherFixture::Done(7, {UpstreamRemoval{"a"}});
  first.next_page = "b";
  fixture.source.reads.back()(first);
  fixture.source.reads.back()(WatcherFixture::Done(11, {UpstreamRemoval{"b"}}));
  cr_assert_eq(fixture.source.watched_after, 7U);
  cr_assert_eq(fixture.updates[0].changes.size(), 2U);
}

UpstreamInfo Listed(const std::string& id) {
  UpstreamInfo upstream;
  upstream.id = id;
  return upstream;
}

SourceAnswer Unreadable() {
  SourceAnswer answer;
  answer.outcome = StoreOutcome::kUnknown;
  answer.is_unreadable = true;
  return answer;
}

// Changes hidden by an unreadable answer never came: the watch went on after
// the version known before. Fails without Start after an unreadable answer.
Test(source_watcher, topic_is_read_again_after_an_unreadable_answer) {
  WatcherFixture fixture;
  fixture.source.reads.back()(WatcherFixture::Done(7, {Listed("a")}));
  fixture.source.watches.back()(Unreadable());
  cr_assert(WaitUntil(fixture.loop,
                      [&] { return fixture.source.reads.size() == 2U; }));
}

// A store without rows was taken for the truth, and the host served nothing for
// good. Fails without ScheduleReread.
Test(source_watcher, empty_topic_is_read_again_until_it_has_a_row) {
  WatcherFixture fixture;
  fixture.source.reads.back()(WatcherFixture::Done(7));
  cr_assert_leq(fixture.source.watched_for.count(), 1'000'000);
  std::this_thread::sleep_for(fixture.source.watched_for);
  fixture.source.watches.back()(WatcherFixture::Done(7));
  cr_assert(WaitUntil(fixture.loop,
                      [&] { return fixture.source.reads.size() == 2U; }));
  fixture.source.reads.back()(WatcherFixture::Done(7, {Listed("a")}));
  cr_assert_gt(fixture.source.watched_for.count(), 10'000'000);
}

// Guards against a list that one read without rows empties, and against a list
// that can never become empty.
Test(source_watcher, empty_read_replaces_a_list_only_after_a_while) {
  WatcherFixture fixture;
  fixture.source.reads.back()(WatcherFixture::Done(7, {Listed("a")}));
  SourceAnswer history_gone;
  history_gone.outcome = StoreOutcome::kHistoryGone;
  const Time begin = BootClock::now();
  while (fixture.updates.size() == 1) {
    const std::size_t reads = fixture.source.reads.size();
    fixture.source.watches.back()(history_gone);
    cr_assert(WaitUntil(fixture.loop,
                        [&] { return fixture.source.reads.size() > reads; }));
    fixture.source.reads.back()(WatcherFixture::Done(8));
  }
  cr_assert(fixture.updates.back().is_full);
  cr_assert_geq((BootClock::now() - begin).count(), 3'000'000);
  cr_assert_leq(fixture.source.reads.size(), 9U);
}

// A read with rows of unreadable versions removed the upstreams of these rows.
Test(source_watcher, partly_unreadable_read_removes_nothing) {
  WatcherFixture fixture;
  fixture.source.reads.back()(
      WatcherFixture::Done(7, {Listed("a"), Listed("b")}));
  fixture.source.watches.back()(Unreadable());
  cr_assert(WaitUntil(fixture.loop,
                      [&] { return fixture.source.reads.size() == 2U; }));
  SourceAnswer read = WatcherFixture::Done(8, {Listed("a")});
  read.is_unreadable = true;
  fixture.source.reads.back()(read);
  cr_assert_eq(fixture.updates.size(), 2U);
  cr_assert_not(fixture.updates.back().is_full);
}

// A version that the store never had made the host ignore all sound answers.
// Fails without DisprovesVersion.
Test(source_watcher, version_above_that_of_the_store_is_given_up) {
  WatcherFixture fixture;
  fixture.source.reads.back()(WatcherFixture::Done(1'000, {Listed("a")}));
  fixture.source.watches.back()(WatcherFixture::Done(9));
  cr_assert(WaitUntil(fixture.loop,
                      [&] { return fixture.source.reads.size() == 2U; }));
  // Other hosts that still have the version do not bring it back.
  cr_assert_not(
      fixture.watcher.ApplyIfNewer(WatcherFixture::Done(1'000, {Listed("b")})));
  fixture.source.reads.back()(WatcherFixture::Done(9, {Listed("c")}));
  cr_assert_eq(fixture.watcher.version(), 9U);
  cr_assert_eq(fixture.watcher.newest_change_version(), 9U);
  cr_assert_not(
      fixture.watcher.IsBehind(1'000, BootClock::now() + Duration(9'000'000)));
  // The store itself names it at last.
  fixture.source.watches.back()(WatcherFixture::Done(1'001, {Listed("d")}));
  cr_assert_eq(fixture.watcher.version(), 1'001U);
}

SourceAnswer Relayed(std::uint64_t version,
                     std::vector<FleetChange> changes = {}) {
  SourceAnswer answer = WatcherFixture::Done(version, std::move(changes));
  answer.relayed = true;
  return answer;
}

// Guards against a follower that asks its relay without a pause after it has
// itself read an empty topic. Fails (a watch without a wait) if
// WatchAfterRelayed keeps the time of the next read.
Test(source_watcher, follower_of_an_empty_topic_waits_for_changes) {
  WatcherFixture fixture;
  fixture.source.reads.back()(WatcherFixture::Done(7));
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  for (int i = 0; i < 3; ++i) {
    fixture.source.watches.back()(Relayed(7));
    cr_assert_gt(fixture.source.watched_for, Duration(10'000'000));
  }
  cr_assert_eq(fixture.source.reads.size(), 1U);
}

// Guards against a follower that ignores its relay for good, and asks it
// without a pause, once the store has disproved a version that its counter
// reaches later. Fails (no read) without IsRejected in WatchAfterRelayed.
Test(source_watcher, follower_reads_the_store_to_confirm_a_rejected_version) {
  WatcherFixture fixture;
  fixture.source.reads.back()(WatcherFixture::Done(1'000, {Listed("a")}));
  fixture.source.watches.back()(WatcherFixture::Done(9));
  cr_assert(WaitUntil(fixture.loop,
                      [&] { return fixture.source.reads.size() == 2U; }));
  fixture.source.reads.back()(WatcherFixture::Done(10, {Listed("a")}));
  const std::size_t watches = fixture.source.watches.size();
  fixture.source.watches.back()(Relayed(1'001, {Listed("b")}));
  cr_assert_eq(fixture.source.watches.size(), watches);
  cr_assert(WaitUntil(fixture.loop,
                      [&] { return fixture.source.reads.size() == 3U; }));
  fixture.source.reads.back()(
      WatcherFixture::Done(1'001, {Listed("a"), Listed("b")}));
  cr_assert_eq(fixture.watcher.version(), 1'001U);
}

// Guards against one answer without rows that empties the list, as earlier
// reads had unreadable rows for a while. Fails with the time of those reads.
Test(source_watcher, one_empty_read_after_unreadable_ones_removes_nothing) {
  WatcherFixture fixture;
  fixture.source.reads.back()(WatcherFixture::Done(7, {Listed("a")}));
  const auto read_again = [&](SourceAnswer answer) {
    const std::size_t reads = fixture.source.reads.size();
    fixture.source.watches.back()(Unreadable());
    cr_assert(WaitUntil(fixture.loop,
                        [&] { return fixture.source.reads.size() > reads; }));
    fixture.source.reads.back()(answer);
  };
  SourceAnswer partly = WatcherFixture::Done(8, {Listed("a")});
  partly.is_unreadable = true;
  read_again(partly);
  std::this_thread::sleep_for(std::chrono::milliseconds(3'100));
  read_again(WatcherFixture::Done(9));
  cr_assert_not(fixture.updates.back().is_full);
}

// Guards against a watcher that stops following after its handler threw, or
// that takes the update for applied.
Test(source_watcher, topic_is_read_again_after_a_failed_update) {
  boost::asio::io_context loop{1};
  FakeSource source;
  int updates = 0;
  SourceWatcher watcher(
      loop, source, SourceTopic::kUpstreams,
      [&updates](const SourceUpdate&) {
        if (++updates == 2) {
          throw std::runtime_error("injected");
        }
      },
      [](bool) {});
  watcher.Start();
  source.reads.back()(WatcherFixture::Done(7, {Listed("a")}));
  try {
    source.watches.back()(WatcherFixture::Done(9, {Listed("b")}));
    cr_assert_fail("the handler's exception was swallowed");
  } catch (const std::runtime_error&) {
    cr_assert_eq(watcher.version(), 7U);
  }
  cr_assert(WaitUntil(loop, [&] { return source.reads.size() == 2U; }));
}

}  // namespace
}  // namespace pathcleat
