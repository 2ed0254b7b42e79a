// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/feeds/source_watcher.hpp"

#include <algorithm>
#include <utility>

namespace pathcleat {
namespace {

constexpr Duration kMaxWatchTime{20'000'000};
// The source answers at once, also if nothing has changed.
constexpr Duration kNoWait{0};
constexpr std::chrono::milliseconds kInitialRetryDelay{100};
constexpr int kMaxDoublings = 3;

}  // namespace

// After a change the watch pauses before it waits for the next change: changes
// come in series, and each answer of the store is billed.
struct SourceWatcher::Timing {
  Duration pause_after_change;      ///< pause of the watch after a change
  Duration fetch_from_peers_after;  ///< lag that makes the host ask its peers
  Duration restart_watch_after;     ///< lag after which a watch counts as dead
};

namespace {

// While a relay pauses, other hosts may have a change that the relay's
// followers get only after the pause. So both lag limits exceed the pause by
// the time of two hops at 10 Mbit/s. The pause is longer for upstreams, because
// upstreams that join or leave continue to serve for seconds, and because
// upstreams join and leave in long series: with hundreds of upstreams, all day.
// Orders must be applied within 2 s.
constexpr SourceWatcher::Timing kOrdersTiming{
    Duration(250'000), Duration(400'000), Duration(700'000)};
constexpr SourceWatcher::Timing kUpstreamsTiming{
    Duration(400'000), Duration(600'000), Duration(850'000)};

// All pages of one read count as one transfer.
void AddTransfer(Transfer& sum, const Transfer& page) {
  sum.from = page.from;
  sum.bytes += page.bytes;
  sum.transfer_time += page.transfer_time;
  sum.decode_time += page.decode_time;
}

}  // namespace

SourceWatcher::SourceWatcher(boost::asio::io_context& loop,
                             FleetSource& source,
                             SourceTopic topic,
                             Handler handler,
                             ReachabilityHandler on_reachability)
    : source_(source),
      topic_(topic),
      timing_(topic == SourceTopic::kOrders ? kOrdersTiming : kUpstreamsTiming),
      handler_(std::move(handler)),
      on_reachability_(std::move(on_reachability)),
      timer_(loop) {}

void SourceWatcher::Start() {
  reading_ = true;
  collected_pages_ = {};
  Read("");
}

void SourceWatcher::Read(const std::string& from) {
  source_.Read(topic_, from, ForCurrentGeneration(&SourceWatcher::OnRead));
}

void SourceWatcher::OnRead(const SourceAnswer& answer) {
  RecordOutcome(answer);
  if (answer.outcome != StoreOutcome::kDone) {
    if (answer.relayed) {
      RunAfter(kInitialRetryDelay, [this] { Start(); });
    } else {
      RetryAfterBackoff([this] { Start(); });
    }
    return;
  }
  // Pages have different versions: the watch begins at that of the first page,
  // so that no change is missed.
  if (collected_pages_.changes.empty()) {
    first_page_version_ = answer.version;
  }
  collected_pages_.changes.insert(collected_pages_.changes.end(),
                                  answer.changes.begin(), answer.changes.end());
  collected_pages_.newest_change_version = std::max(
      collected_pages_.newest_change_version, answer.newest_change_version);
  collected_pages_.removals_uncertain = answer.removals_uncertain;
  AddTransfer(collected_pages_.transfer, answer.transfer);
  if (!answer.next_page.empty()) {
    Read(answer.next_page);
    return;
  }
  SourceAnswer read = std::exchange(collected_pages_, {});
  read.version = first_page_version_;
  if (read.version >= version_) {
    Handle(read, true);
  }
  Watch();
}

// A store that has stopped answering may still accept a call. So after a
// failure the watch does not wait for changes until a call has been answered.
void SourceWatcher::Watch() {
  reading_ = false;
  watch_started_at_ = BootClock::now();
  source_.Watch(topic_, version_, last_call_failed_ ? kNoWait : kMaxWatchTime,
                ForCurrentGeneration(&SourceWatcher::OnWatchAnswer));
}

void SourceWatcher::RestartWatch() {
  source_.StopWatch(topic_);
  ++generation_;
  ++restarts_;
  last_call_failed_ = true;
  Watch();
}

bool SourceWatcher::RestartIfOlderThan(Time since) {
  if (reading_ || !loaded_ || last_call_failed_ || watch_started_at_ >= since) {
    return false;
  }
  RestartWatch();
  return true;
}

void SourceWatcher::OnWatchAnswer(const SourceAnswer& answer) {
  if (answer.outcome == StoreOutcome::kHistoryGone) {
    RecordOutcome(answer);
    Start();
    return;
  }
  RecordOutcome(answer);
  if (answer.outcome != StoreOutcome::kDone) {
    RetryAfterBackoff([this] { Watch(); });
    return;
  }
  // Data fetched from a peer since the watch began may be newer than its
  // answer.
  const bool has_changes = !answer.changes.empty() || answer.is_full;
  if (answer.version >= version_) {
    Handle(answer, answer.is_full);
  }
  if (has_changes && !answer.relayed) {
    RunAfter(timing_.pause_after_change, [this] { Watch(); });
    return;
  }
  Watch();
}

void SourceWatcher::Handle(const SourceAnswer& answer, bool is_full) {
  version_ = std::max(version_, answer.version);
  newest_change_version_ =
      std::max(newest_change_version_, answer.newest_change_version);
  last_lag_ = behind_since_ ? std::optional(BootClock::now() - *behind_since_)
                            : std::nullopt;
  behind_since_.reset();
  if (is_full) {
    loaded_ = true;
  }
  if (is_full || !answer.changes.empty()) {
    handler_({is_full, answer.version, answer.newest_change_version,
              answer.relayed, answer.removals_uncertain, answer.transfer,
              answer.changes});
  }
}

// Wraps a handler so that answers to abandoned calls are ignored.
FleetSource::Callback SourceWatcher::ForCurrentGeneration(
    void (SourceWatcher::*handler)(const SourceAnswer&)) {
  return [this, handler, generation = generation_](const SourceAnswer& answer) {
    if (generation == generation_) {
      (this->*handler)(answer);
    }
  };
}

void SourceWatcher::OnPeerVersion(std::uint64_t version, Time now) {
  if (version <= version_ || !loaded_) {
    return;
  }
  if (!behind_since_) {
    behind_since_ = now;
    return;
  }
  // A read is not restarted, as it ends by its own timeouts: on a link that
  // needs longer for the whole topic, a restarted read would never finish.
  if (!reading_ && failures_ == 0 &&
      now - LastProgressTime() > timing_.restart_watch_after) {
    last_restart_ = now;
    RestartWatch();
  }
}

// Time since which the watch has made no progress. While an answer arrives,
// however slowly, the watch is not restarted: a second call would only share
// the link with the first.
Time SourceWatcher::LastProgressTime() const {
  const Time since = std::max(*behind_since_, last_restart_);
  return std::max(since, source_.WatchLastReceived(topic_).value_or(since));
}

bool SourceWatcher::IsBehind(std::uint64_t peer_version, Time now) const {
  const Time last_received = source_.WatchLastReceived(topic_).value_or(Time());
  const bool is_lagging =
      behind_since_ && now - std::max(*behind_since_, last_received) >
                           timing_.fetch_from_peers_after;
  return peer_version > version_ && (is_lagging || !last_call_answered_);
}

bool SourceWatcher::ApplyIfNewer(const SourceAnswer& answer) {
  if (answer.version <= version_ || (!answer.is_full && !loaded_)) {
    return false;
  }
  const bool was_loaded = loaded_;
  Handle(answer, answer.is_full);
  if (!was_loaded) {
    // The initial read has not succeeded and is no longer needed: abandon it
    // and watch from the version of this answer.
    ++generation_;
    Watch();
  }
  return true;
}

void SourceWatcher::RetryAfterBackoff(std::function<void()> next) {
  RunAfter(kInitialRetryDelay *
               (1 << std::min(std::max(0, failures_ - 1), kMaxDoublings)),
           std::move(next));
}

void SourceWatcher::RunAfter(Duration pause, std::function<void()> next) {
  timer_.expires_after(pause);
  timer_.async_wait([this, generation = generation_, next = std::move(next)](
                        const boost::system::error_code& error) {
    if (!error && generation == generation_) {
      next();
    }
  });
}

// Records the outcome of a call. Answers of other hosts do not change whether
// the store counts as reachable.
void SourceWatcher::RecordOutcome(const SourceAnswer& answer) {
  const bool reached = answer.outcome == StoreOutcome::kDone ||
                       answer.outcome == StoreOutcome::kHistoryGone;
  failures_ = reached ? 0 : failures_ + 1;
  last_call_failed_ = !reached;
  last_call_answered_ = reached;
  if (reached) {
    answered_at_ = BootClock::now();
  }
  if (!answer.relayed && reached != store_reachable_) {
    store_reachable_ = reached;
    on_reachability_(reached);
  }
}

}  // namespace pathcleat
