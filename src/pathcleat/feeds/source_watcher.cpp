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
// A read without a configuration or without any upstream is repeated: until it
// brings one, the host serves nothing.
constexpr Duration kMinRereadInterval{500'000};
// An incomplete read is repeated after this share of the time for which reads
// have been incomplete, so that a row that stays, or a topic that is empty,
// costs few calls.
constexpr int kRereadAgeDivisor = 4;
constexpr Duration kMaxRereadInterval{30'000'000};
constexpr Duration kMaxEmptyRereadInterval{5'000'000};
// An empty list of upstreams replaces a list with upstreams only after reads
// have been empty for this long.
constexpr Duration kEmptyListTimeout{3'000'000};
// A relay that still has an older version than this host after a watch of this
// length is dead, or this host has a version that never was the store's.
constexpr Duration kRelayBehindTimeout{5'000'000};

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

// Whether a change shows that the topic is not empty. The row of the
// configuration counts even if it cannot be decoded: reading it again would not
// help, and the other orders must be applied.
bool IsEssential(SourceTopic topic, const FleetChange& change) {
  if (topic == SourceTopic::kUpstreams) {
    return std::holds_alternative<UpstreamInfo>(change);
  }
  const auto* unreadable = std::get_if<UnreadableRow>(&change);
  return unreadable != nullptr ? !unreadable->key.empty()
                               : std::holds_alternative<RoutingConfig>(change);
}

bool HasEssential(SourceTopic topic, const std::vector<FleetChange>& changes) {
  return std::any_of(changes.begin(), changes.end(),
                     [topic](const FleetChange& change) {
                       return IsEssential(topic, change);
                     });
}

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
  reread_at_.reset();
  collected_pages_ = {};
  version_before_read_ = version_;
  Read("");
}

void SourceWatcher::Read(const std::string& from) {
  page_from_ = from;
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
  collected_pages_.is_unreadable =
      collected_pages_.is_unreadable || answer.is_unreadable;
  collected_pages_.relayed = answer.relayed;
  AddTransfer(collected_pages_.transfer, answer.transfer);
  // A page that does not lead on would be read for ever.
  if (answer.next_page > page_from_) {
    Read(answer.next_page);
    return;
  }
  collected_pages_.is_unreadable =
      collected_pages_.is_unreadable || !answer.next_page.empty();
  SourceAnswer read = std::exchange(collected_pages_, {});
  read.version = first_page_version_;
  OnTopicRead(read);
  Watch();
}

void SourceWatcher::OnTopicRead(const SourceAnswer& read) {
  if (!read.relayed && read.version < version_before_read_) {
    RejectVersion(version_before_read_);
  }
  if (read.version < version_ || HasRejectedVersion(read)) {
    return;
  }
  if (read.relayed) {
    misses_rows_ = false;
    Handle(read, true);
    return;
  }
  const bool is_empty = !HasEssential(topic_, read.changes);
  if (CheckRead(read, is_empty, BootClock::now()) || !loaded_) {
    Handle(read, true);
  } else if (!is_empty || !has_essential_) {
    Handle(read, is_empty);
  }
}

// Whether a read of the whole topic from the store may replace what this host
// has. If not, the topic is to be read again. A read without a configuration
// never replaces one: the store keeps the newest. A list of upstreams may
// become empty.
bool SourceWatcher::CheckRead(const SourceAnswer& read,
                              bool is_empty,
                              Time now) {
  if (!is_empty) {
    empty_since_.reset();
  }
  misses_rows_ = read.is_unreadable;
  if (!is_empty && !misses_rows_) {
    incomplete_since_.reset();
    return true;
  }
  ScheduleReread(now);
  if (!is_empty || misses_rows_) {
    return false;
  }
  reread_at_ = std::min(*reread_at_, now + kMaxEmptyRereadInterval);
  empty_since_ = empty_since_.value_or(now);
  return topic_ == SourceTopic::kUpstreams &&
         now - *empty_since_ >= kEmptyListTimeout;
}

void SourceWatcher::ScheduleReread(Time now) {
  const Time since = incomplete_since_.value_or(now);
  incomplete_since_ = since;
  reread_at_ = now + std::clamp(Duration((now - since) / kRereadAgeDivisor),
                                kMinRereadInterval, kMaxRereadInterval);
}

// The store's versions only rise: an answer with an older version than one that
// this host had before the call shows that no such version exists.
void SourceWatcher::RejectVersion(std::uint64_t version) {
  rejected_from_ = std::min(rejected_from_.value_or(version), version);
  version_ = 0;
  newest_change_version_ = 0;
  behind_since_.reset();
}

bool SourceWatcher::IsRejected(std::uint64_t version) const {
  return rejected_from_ && version >= *rejected_from_;
}

// Versions that the store itself names are accepted again once its counter has
// reached them.
bool SourceWatcher::HasRejectedVersion(const SourceAnswer& answer) {
  if (!answer.relayed && IsRejected(answer.version)) {
    rejected_from_.reset();
  }
  return IsRejected(answer.version);
}

// A store that has stopped answering may still accept a call. So after a
// failure the watch does not wait for changes until a call has been answered.
void SourceWatcher::Watch() {
  reading_ = false;
  watch_started_at_ = BootClock::now();
  watched_after_ = version_;
  source_.Watch(topic_, version_, WatchTime(watch_started_at_),
                ForCurrentGeneration(&SourceWatcher::OnWatchAnswer));
}

Duration SourceWatcher::WatchTime(Time now) const {
  if (last_call_failed_) {
    return kNoWait;
  }
  return reread_at_
             ? std::clamp(
                   std::chrono::duration_cast<Duration>(*reread_at_ - now),
                   kNoWait, kMaxWatchTime)
             : kMaxWatchTime;
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
    // The store reports lost history again where a read brought nothing.
    if (std::exchange(history_gone_, true) && reread_at_) {
      RunAfter(kMinRereadInterval, [this] { Start(); });
    } else {
      Start();
    }
    return;
  }
  RecordOutcome(answer);
  if (answer.outcome != StoreOutcome::kDone) {
    RetryAfterBackoff([this, is_unreadable = answer.is_unreadable] {
      is_unreadable ? Start() : Watch();
    });
    return;
  }
  history_gone_ = false;
  if (DisprovesVersion(answer)) {
    RunAfter(kInitialRetryDelay, [this] { Start(); });
    return;
  }
  // Data fetched from a peer since the watch began may be newer than its
  // answer.
  const bool has_changes = !answer.changes.empty() || answer.is_full;
  if (answer.version >= version_ && !HasRejectedVersion(answer)) {
    Handle(answer, answer.is_full);
  }
  const Time now = BootClock::now();
  if (answer.relayed) {
    WatchAfterRelayed(answer, now);
    return;
  }
  if (answer.is_unreadable && !reread_at_) {
    misses_rows_ = true;
    ScheduleReread(now);
  }
  const bool rereads = reread_at_ && now >= *reread_at_;
  if (has_changes || answer.is_unreadable || rereads) {
    RunAfter(timing_.pause_after_change,
             [this, rereads] { rereads ? Start() : Watch(); });
    return;
  }
  Watch();
}

// A relay brings an empty topic's first row itself. What it cannot bring are
// rows that this host could not read, and versions that only the store can
// confirm; the topic is then read again.
void SourceWatcher::WatchAfterRelayed(const SourceAnswer& answer, Time now) {
  if (!misses_rows_) {
    reread_at_.reset();
  }
  const bool is_due = reread_at_ && now >= *reread_at_;
  if (is_due || IsRejected(answer.version)) {
    RunAfter(kMinRereadInterval, [this] { Start(); });
    return;
  }
  Watch();
}

// Whether the answer to a watch shows that this host's version never was the
// store's.
bool SourceWatcher::DisprovesVersion(const SourceAnswer& answer) {
  if (answer.version >= watched_after_) {
    return false;
  }
  if (answer.relayed) {
    return BootClock::now() - watch_started_at_ >= kRelayBehindTimeout;
  }
  RejectVersion(watched_after_);
  return true;
}

void SourceWatcher::Handle(const SourceAnswer& answer, bool is_full) {
  const std::uint64_t version_before = version_;
  const std::uint64_t newest_before = newest_change_version_;
  version_ = std::max(version_, answer.version);
  newest_change_version_ =
      std::max(newest_change_version_, answer.newest_change_version);
  last_lag_ = behind_since_ ? std::optional(BootClock::now() - *behind_since_)
                            : std::nullopt;
  behind_since_.reset();
  if (is_full) {
    loaded_ = true;
  }
  if (HasEssential(topic_, answer.changes)) {
    has_essential_ = true;
  }
  if (!is_full && answer.changes.empty()) {
    return;
  }
  try {
    handler_({is_full, answer.version, answer.newest_change_version,
              answer.relayed, answer.removals_uncertain, answer.transfer,
              answer.changes});
  } catch (...) {
    // The update may be applied in part, so the whole topic is read again.
    version_ = version_before;
    newest_change_version_ = newest_before;
    ++generation_;
    RunAfter(kMinRereadInterval, [this] { Start(); });
    throw;
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
  if (version <= version_ || !loaded_ || IsRejected(version)) {
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
  return peer_version > version_ && !IsRejected(peer_version) &&
         (is_lagging || !last_call_answered_);
}

bool SourceWatcher::ApplyIfNewer(const SourceAnswer& answer) {
  if (answer.version <= version_ || IsRejected(answer.version) ||
      (!answer.is_full && !loaded_)) {
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
