// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/source_watcher.hpp"

#include <algorithm>
#include <utility>

namespace pathcleat {
namespace {

constexpr Duration kWatchTime{20'000'000};
// A watch that has not told for so long what others know is dead.
constexpr Duration kDeadWatchAfter{700'000};
// Behind for so long, a host asks the others.
constexpr Duration kAskPeersAfter{400'000};
constexpr std::chrono::milliseconds kFirstPause{100};
constexpr int kMostDoublings = 3;

}  // namespace

SourceWatcher::SourceWatcher(boost::asio::io_context& loop,
                             FleetSource& source,
                             SourceTopic topic,
                             Handler handler,
                             Observer observer)
    : source_(source),
      topic_(topic),
      handler_(std::move(handler)),
      observer_(std::move(observer)),
      timer_(loop) {}

void SourceWatcher::Start() {
  page_ = {true, {}};
  Read("");
}

void SourceWatcher::Read(const std::string& from) {
  source_.Read(topic_, from, Current(&SourceWatcher::OnRead));
}

void SourceWatcher::OnRead(const SourceAnswer& answer) {
  Note(answer.outcome == StoreOutcome::kDone);
  if (answer.outcome != StoreOutcome::kDone) {
    Pause([this] { Start(); });
    return;
  }
  // Pages are as of different moments: the watch begins at the first one's.
  if (page_.changes.empty()) {
    first_page_version_ = answer.version;
  }
  page_.changes.insert(page_.changes.end(), answer.changes.begin(),
                       answer.changes.end());
  if (!answer.next.empty()) {
    Read(answer.next);
    return;
  }
  const SourceUpdate update = std::exchange(page_, {});
  if (first_page_version_ >= version_) {
    version_ = first_page_version_;
    loaded_ = true;
    handler_(update);
  }
  Watch();
}

void SourceWatcher::Watch() {
  source_.Watch(topic_, version_, kWatchTime, Current(&SourceWatcher::OnWatch));
}

void SourceWatcher::OnWatch(const SourceAnswer& answer) {
  if (answer.outcome == StoreOutcome::kHistoryGone) {
    Note(true);
    Start();
    return;
  }
  Note(answer.outcome == StoreOutcome::kDone);
  if (answer.outcome != StoreOutcome::kDone) {
    Pause([this] { Watch(); });
    return;
  }
  // What has since been taken from a peer may be newer than this answer.
  if (answer.version >= version_) {
    version_ = answer.version;
    if (!answer.changes.empty()) {
      handler_({false, answer.changes});
    }
  }
  Watch();
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
    behind_since_.reset();
    return;
  }
  if (!behind_since_) {
    behind_since_ = now;
    return;
  }
  if (now - *behind_since_ > kDeadWatchAfter && failures_ == 0) {
    behind_since_.reset();
    ++generation_;
    Watch();
  }
}

bool SourceWatcher::IsBehind(std::uint64_t peer_version, Time now) const {
  const bool late = behind_since_ && now - *behind_since_ > kAskPeersAfter;
  return peer_version > version_ && (late || !reached_);
}

void SourceWatcher::AdoptVersion(std::uint64_t version) {
  if (version <= version_) {
    return;
  }
  version_ = version;
  behind_since_.reset();
  const bool was_loaded = std::exchange(loaded_, true);
  if (!was_loaded) {
    // The first read goes on failing; from now on a watch is enough.
    ++generation_;
    Watch();
  }
}

void SourceWatcher::Pause(std::function<void()> next) {
  timer_.expires_after(kFirstPause *
                       (1 << std::min(failures_ - 1, kMostDoublings)));
  timer_.async_wait([this, generation = generation_, next = std::move(next)](
                        const boost::system::error_code& error) {
    if (!error && generation == generation_) {
      next();
    }
  });
}

void SourceWatcher::Note(bool reached) {
  failures_ = reached ? 0 : failures_ + 1;
  if (reached != reached_) {
    reached_ = reached;
    observer_(reached);
  }
}

}  // namespace pathcleat
