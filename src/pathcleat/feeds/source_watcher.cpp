// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/feeds/source_watcher.hpp"

#include <algorithm>
#include <utility>

namespace pathcleat {
namespace {

constexpr Duration kWatchTime{20'000'000};
// What has changed is told at once, and so is that nothing has.
constexpr Duration kNoWait{0};
constexpr std::chrono::milliseconds kFirstPause{100};
constexpr int kMostDoublings = 3;

}  // namespace

// After a change the next one is not waited for at once: changes come in
// series, and each answer of the store is paid for.
struct SourceWatcher::Timing {
  Duration gather;      ///< the pause after a change
  Duration ask_after;   ///< behind for so long, a host asks the others
  Duration dead_after;  ///< a watch that tells nothing of what others know
};

namespace {

// Others may know of a change while a relay pauses, and it is then passed on:
// both bounds lie beyond the pause by what two hops take at 10 Mbit/s.
// Upstreams that join or leave serve on for seconds, and come and go in long
// series: with hundreds of them all day. Orders are due within 2 s.
constexpr SourceWatcher::Timing kOrdersPace{
    Duration(250'000), Duration(400'000), Duration(700'000)};
constexpr SourceWatcher::Timing kUpstreamsPace{
    Duration(400'000), Duration(600'000), Duration(850'000)};

// The pages of one reading count as one transfer.
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
                             ReachabilityHandler observer)
    : source_(source),
      topic_(topic),
      pace_(topic == SourceTopic::kOrders ? kOrdersPace : kUpstreamsPace),
      handler_(std::move(handler)),
      observer_(std::move(observer)),
      timer_(loop) {}

void SourceWatcher::Start() {
  reading_ = true;
  page_ = {};
  Read("");
}

void SourceWatcher::Read(const std::string& from) {
  source_.Read(topic_, from, Current(&SourceWatcher::OnRead));
}

void SourceWatcher::OnRead(const SourceAnswer& answer) {
  Note(answer);
  if (answer.outcome != StoreOutcome::kDone) {
    if (answer.relayed) {
      PauseFor(kFirstPause, [this] { Start(); });
    } else {
      Pause([this] { Start(); });
    }
    return;
  }
  // Pages are as of different moments: the watch begins at the first one's.
  if (page_.changes.empty()) {
    first_page_version_ = answer.version;
  }
  page_.changes.insert(page_.changes.end(), answer.changes.begin(),
                       answer.changes.end());
  page_.newest_change_version =
      std::max(page_.newest_change_version, answer.newest_change_version);
  page_.removals_uncertain = answer.removals_uncertain;
  AddTransfer(page_.transfer, answer.transfer);
  if (!answer.next_page.empty()) {
    Read(answer.next_page);
    return;
  }
  SourceAnswer read = std::exchange(page_, {});
  read.version = first_page_version_;
  if (read.version >= version_) {
    Handle(read, true);
  }
  Watch();
}

// A store that falls silent may take a call and never answer it. A long wait is
// begun only once a short call has been answered.
void SourceWatcher::Watch() {
  reading_ = false;
  watch_began_ = BootClock::now();
  source_.Watch(topic_, version_, in_doubt_ ? kNoWait : kWatchTime,
                Current(&SourceWatcher::OnWatch));
}

void SourceWatcher::WatchAnew() {
  source_.StopWatch(topic_);
  ++generation_;
  in_doubt_ = true;
  Watch();
}

void SourceWatcher::RestartIfOlderThan(Time since) {
  if (!reading_ && loaded_ && !in_doubt_ && watch_began_ < since) {
    WatchAnew();
  }
}

void SourceWatcher::OnWatch(const SourceAnswer& answer) {
  if (answer.outcome == StoreOutcome::kHistoryGone) {
    Note(answer);
    Start();
    return;
  }
  Note(answer);
  if (answer.outcome != StoreOutcome::kDone) {
    Pause([this] { Watch(); });
    return;
  }
  // What has since been taken from a peer may be newer than this answer.
  const bool news = !answer.changes.empty() || answer.is_full;
  if (answer.version >= version_) {
    Handle(answer, answer.is_full);
  }
  if (news && !answer.relayed) {
    PauseFor(pace_.gather, [this] { Watch(); });
    return;
  }
  Watch();
}

void SourceWatcher::Handle(const SourceAnswer& answer, bool whole) {
  version_ = std::max(version_, answer.version);
  changed_ = std::max(changed_, answer.newest_change_version);
  behind_since_.reset();
  if (whole) {
    loaded_ = true;
  }
  if (whole || !answer.changes.empty()) {
    handler_({whole, answer.version, answer.newest_change_version,
              answer.relayed, answer.removals_uncertain, answer.transfer,
              answer.changes});
  }
}

// Answers to calls that were given up are dropped.
FleetSource::Callback SourceWatcher::Current(
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
  // A reading ends by its own limits: begun anew, it would never get done on
  // a link that needs longer for the whole.
  if (!reading_ && failures_ == 0 && now - TrustedSince() > pace_.dead_after) {
    begun_anew_ = now;
    WatchAnew();
  }
}

// While an answer comes, however slowly, its watch lives: another question
// would only share the link with it.
Time SourceWatcher::TrustedSince() const {
  const Time since = std::max(*behind_since_, begun_anew_);
  return std::max(since, source_.WatchLastReceived(topic_).value_or(since));
}

bool SourceWatcher::IsBehind(std::uint64_t peer_version, Time now) const {
  const Time heard = source_.WatchLastReceived(topic_).value_or(Time());
  const bool late =
      behind_since_ && now - std::max(*behind_since_, heard) > pace_.ask_after;
  return peer_version > version_ && (late || !answered_);
}

bool SourceWatcher::ApplyIfNewer(const SourceAnswer& answer) {
  if (answer.version <= version_ || (!answer.is_full && !loaded_)) {
    return false;
  }
  const bool was_loaded = loaded_;
  Handle(answer, answer.is_full);
  if (!was_loaded) {
    // The first read goes on failing; from now on a watch is enough.
    ++generation_;
    Watch();
  }
  return true;
}

void SourceWatcher::Pause(std::function<void()> next) {
  PauseFor(
      kFirstPause * (1 << std::min(std::max(0, failures_ - 1), kMostDoublings)),
      std::move(next));
}

void SourceWatcher::PauseFor(Duration pause, std::function<void()> next) {
  timer_.expires_after(pause);
  timer_.async_wait([this, generation = generation_, next = std::move(next)](
                        const boost::system::error_code& error) {
    if (!error && generation == generation_) {
      next();
    }
  });
}

// Another host's answer says nothing of the store.
void SourceWatcher::Note(const SourceAnswer& answer) {
  const bool reached = answer.outcome == StoreOutcome::kDone ||
                       answer.outcome == StoreOutcome::kHistoryGone;
  failures_ = reached ? 0 : failures_ + 1;
  in_doubt_ = !reached;
  answered_ = reached;
  if (reached) {
    answered_at_ = BootClock::now();
  }
  if (!answer.relayed && reached != reached_) {
    reached_ = reached;
    observer_(reached);
  }
}

}  // namespace pathcleat
