// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/feeds/relayed_source.hpp"

#include <algorithm>
#include <utility>

namespace pathcleat {
namespace {

// A relay that did not answer is left alone, and a store that did not is
// asked again, after this time.
constexpr Duration kAvoidTime{5'000'000};
constexpr Duration kStoreFailTime{3'000'000};

// Nothing was learnt, and the store is not to blame.
SourceAnswer NotAsked() {
  SourceAnswer answer;
  answer.relayed = true;
  return answer;
}

}  // namespace

RelayedSource::RelayedSource(FleetSource& store,
                             PeerFeed& peers,
                             const HostTable& hosts,
                             int domains,
                             std::function<void()> on_access)
    : store_(store),
      peers_(peers),
      hosts_(hosts),
      domains_(domains),
      on_access_(std::move(on_access)) {}

RelayChoice RelayedSource::Choose(Time now) {
  std::erase_if(avoided_,
                [now](const auto& peer) { return now >= peer.second; });
  RelayCriteria need;
  need.domain_count = domains_;
  need.store_failed = store_failed_ && now - *store_failed_ < kStoreFailTime;
  for (const auto& [peer, until] : avoided_) {
    need.avoided_peers.insert(peer);
  }
  return ChooseRelay(hosts_, need, now);
}

// Who has read the topic says so in its heartbeats, and is then asked beside.
bool RelayedSource::AwaitsOthers(SourceTopic topic, Time now) {
  const Time since = waiting_since_.try_emplace(topic, now).first->second;
  if (ShouldReadStore(hosts_, {domains_, now - since}, now)) {
    waiting_since_.erase(topic);
    return false;
  }
  return true;
}

void RelayedSource::Read(SourceTopic topic,
                         const std::string& from,
                         Callback callback) {
  const Time now = BootClock::now();
  if (from.empty() && store_access(now) != StoreAccess::kFailing &&
      AwaitsOthers(topic, now)) {
    callback(NotAsked());
    return;
  }
  // The pages of one reading come from one place.
  const RelayChoice choice =
      from.empty() && store_failed_ ? Choose(now) : RelayChoice();
  switch (choice.kind) {
    case RelayKind::kPeer:
      AskPeer({choice.peer_name, choice.peer_address}, {topic, 0, Duration(0)},
              callback);
      return;
    case RelayKind::kNone:
      callback(NotAsked());
      return;
    case RelayKind::kStore:
      store_.Read(topic, from,
                  Noting(topic, CallKind::kRead, std::move(callback)));
      return;
  }
}

void RelayedSource::Watch(SourceTopic topic,
                          std::uint64_t after,
                          Duration wait,
                          Callback callback) {
  StopWatch(topic);
  const RelayChoice choice = Choose(BootClock::now());
  switch (choice.kind) {
    case RelayKind::kPeer:
      LeaveStore(topic);
      BeginWatch({choice.peer_name, choice.peer_address}, {topic, after, wait},
                 std::move(callback));
      return;
    case RelayKind::kNone:
      LeaveStore(topic);
      callback(NotAsked());
      return;
    case RelayKind::kStore:
      store_.Watch(topic, after, wait,
                   Noting(topic, CallKind::kWatch, std::move(callback)));
      return;
  }
}

void RelayedSource::BeginWatch(const FeedPeer& peer,
                               const FeedRequest& request,
                               Callback callback) {
  const PeerFetchPtr question =
      AskPeer(peer, request,
              [this, topic = request.topic,
               callback = std::move(callback)](const SourceAnswer& answer) {
                watches_.erase(topic);
                callback(answer);
              });
  if (question) {
    watches_[request.topic] = question;
  }
}

// Others have told more than this relay, which is left alone for a while.
void RelayedSource::StopWatch(SourceTopic topic) {
  const auto watch = watches_.find(topic);
  if (watch == watches_.end()) {
    return;
  }
  const PeerFetchPtr question = watch->second;
  watches_.erase(watch);
  avoided_[question->peer.address] = BootClock::now() + kAvoidTime;
  peers_.Cancel(*question, "others know more");
}

std::optional<Time> RelayedSource::WatchLastReceived(SourceTopic topic) const {
  const auto watch = watches_.find(topic);
  return watch == watches_.end()
             ? std::nullopt
             : watch->second->client->last_response_byte_at();
}

PeerFetchPtr RelayedSource::AskPeer(const FeedPeer& peer,
                                    const FeedRequest& request,
                                    const Callback& callback) {
  return peers_.Fetch(
      peer, request,
      [this, address = peer.address,
       callback](const std::optional<FeedResponse>& answer) {
        if (answer) {
          callback(ToSourceAnswer(answer->snapshot, answer->transfer));
          return;
        }
        avoided_[address] = BootClock::now() + kAvoidTime;
        callback(NotAsked());
      });
}

FleetSource::Callback RelayedSource::Noting(SourceTopic topic,
                                            CallKind kind,
                                            Callback callback) {
  return [this, topic, kind,
          callback = std::move(callback)](const SourceAnswer& answer) {
    if (!IsFirstBreak(topic, kind, answer.outcome)) {
      NoteStore(topic, answer.outcome);
    }
    callback(answer);
  };
}

// A watch that breaks off says nothing of the store: the next call, a moment
// later, does. Relays that took the store for gone by it all turned their
// followers away at one moment, and sent them to the store.
bool RelayedSource::IsFirstBreak(SourceTopic topic,
                                 CallKind kind,
                                 StoreOutcome outcome) {
  if (kind == CallKind::kWatch && outcome == StoreOutcome::kUnknown) {
    return broken_.insert(topic).second;
  }
  broken_.erase(topic);
  return false;
}

void RelayedSource::NoteStore(SourceTopic topic, StoreOutcome outcome) {
  const Time now = BootClock::now();
  const StoreAccess before = store_access(now);
  const bool answered =
      outcome == StoreOutcome::kDone || outcome == StoreOutcome::kHistoryGone;
  at_store_[topic] = answered;
  if (answered) {
    store_failed_.reset();
  } else {
    store_failed_ = now;
  }
  TellIfChanged(before);
}

void RelayedSource::LeaveStore(SourceTopic topic) {
  const StoreAccess before = store_access(BootClock::now());
  at_store_[topic] = false;
  TellIfChanged(before);
}

void RelayedSource::TellIfChanged(StoreAccess before) {
  if (store_access(BootClock::now()) != before) {
    on_access_();
  }
}

StoreAccess RelayedSource::store_access(Time now) const {
  if (store_failed_ && now - *store_failed_ < kStoreFailTime) {
    return StoreAccess::kFailing;
  }
  const bool watching =
      at_store_.size() > 1 &&
      std::all_of(at_store_.begin(), at_store_.end(),
                  [](const auto& topic) { return topic.second; });
  return watching ? StoreAccess::kWatching : StoreAccess::kFollowingPeer;
}

}  // namespace pathcleat
