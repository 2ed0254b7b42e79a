// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/feeds/relayed_source.hpp"

#include <algorithm>
#include <utility>

namespace pathcleat {
namespace {

// How long a relay that did not answer is avoided.
constexpr Duration kPeerAvoidDuration{5'000'000};
// How long the store counts as failing after a call without an answer.
constexpr Duration kStoreFailureTtl{3'000'000};

// An answer without data that does not count as a failure of the store.
SourceAnswer NoAnswerFromStore() {
  SourceAnswer answer;
  answer.relayed = true;
  return answer;
}

bool IsAnswered(StoreOutcome outcome) {
  return outcome == StoreOutcome::kDone ||
         outcome == StoreOutcome::kHistoryGone;
}

}  // namespace

RelayedSource::RelayedSource(FleetSource& store,
                             PeerFeed& peers,
                             const HostTable& hosts,
                             int domains,
                             const WatchSchedule& schedule,
                             std::function<void()> on_access)
    : store_(store),
      peers_(peers),
      hosts_(hosts),
      domains_(domains),
      schedule_(schedule),
      on_access_(std::move(on_access)) {}

bool RelayedSource::IsStoreFailed(Time now) const {
  return store_failed_at_ && now - *store_failed_at_ < kStoreFailureTtl;
}

RelayChoice RelayedSource::Choose(Time now) {
  std::erase_if(avoided_peers_,
                [now](const auto& peer) { return now >= peer.second; });
  RelayCriteria criteria;
  criteria.domain_count = domains_;
  criteria.store_failed = IsStoreFailed(now);
  for (const auto& [peer, until] : avoided_peers_) {
    criteria.avoided_peers.insert(peer);
  }
  return ChooseRelay(hosts_, criteria, now);
}

// Whether to wait until other hosts have read the topic. Their heartbeats then
// report its version, and this host fetches the topic from one of them.
bool RelayedSource::ShouldAwaitOthers(SourceTopic topic, Time now) {
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
      ShouldAwaitOthers(topic, now)) {
    callback(NoAnswerFromStore());
    return;
  }
  // All pages of one read come from the same source.
  const RelayChoice choice =
      from.empty() && store_failed_at_ ? Choose(now) : RelayChoice();
  switch (choice.kind) {
    case RelayKind::kPeer:
      FetchFromPeer({choice.peer_name, choice.peer_address},
                    {topic, 0, Duration(0)}, callback);
      return;
    case RelayKind::kNone:
      callback(NoAnswerFromStore());
      return;
    case RelayKind::kStore:
      store_.Read(
          topic, from,
          WithStoreTracking(topic, CallKind::kRead, std::move(callback)));
      return;
  }
}

void RelayedSource::Watch(SourceTopic topic,
                          std::uint64_t after,
                          Duration wait,
                          Callback callback) {
  StopWatch(topic);
  const Time now = BootClock::now();
  const RelayChoice choice = Choose(now);
  away_from_store_.erase(topic);
  switch (choice.kind) {
    case RelayKind::kPeer:
      if (IsStoreFailed(now)) {
        away_from_store_.insert(topic);
      }
      StopUsingStore(topic);
      StartPeerWatch({choice.peer_name, choice.peer_address},
                     {topic, after, wait}, std::move(callback));
      return;
    case RelayKind::kNone:
      StopUsingStore(topic);
      callback(NoAnswerFromStore());
      return;
    case RelayKind::kStore:
      const bool waits = wait > Duration::zero();
      store_.Watch(
          topic, after, LimitedWait(topic, wait, now),
          WithStoreTracking(topic, waits ? CallKind::kWatch : CallKind::kPoll,
                            std::move(callback)));
      return;
  }
}

Duration RelayedSource::LimitedWait(SourceTopic topic,
                                    Duration wait,
                                    Time now) const {
  if (wait <= Duration::zero()) {
    return wait;
  }
  const WatchTurn turn = TurnAmongWatchers(hosts_, domains_, now);
  const auto last = last_answers_.find(topic);
  const bool in_turn = last != last_answers_.end() && last->second.ended_wait;
  return std::min(
      wait, in_turn ? schedule_.NextWait(turn) : schedule_.FirstWait(turn));
}

void RelayedSource::StartPeerWatch(const FeedPeer& peer,
                                   const FeedRequest& request,
                                   Callback callback) {
  const PeerFetchPtr fetch = FetchFromPeer(
      peer, request,
      [this, topic = request.topic,
       callback = std::move(callback)](const SourceAnswer& answer) {
        peer_watches_.erase(topic);
        callback(answer);
      });
  if (fetch) {
    peer_watches_[request.topic] = fetch;
  }
}

// A relay whose watch is cancelled lags behind other hosts and is avoided for a
// while.
void RelayedSource::StopWatch(SourceTopic topic) {
  const auto watch = peer_watches_.find(topic);
  if (watch == peer_watches_.end()) {
    store_.StopWatch(topic);
    return;
  }
  const PeerFetchPtr fetch = watch->second;
  peer_watches_.erase(watch);
  avoided_peers_[fetch->peer.address] = BootClock::now() + kPeerAvoidDuration;
  peers_.Cancel(*fetch, "others know more");
}

std::optional<Time> RelayedSource::WatchLastReceived(SourceTopic topic) const {
  const auto watch = peer_watches_.find(topic);
  return watch == peer_watches_.end()
             ? std::nullopt
             : watch->second->client->last_response_byte_at();
}

PeerFetchPtr RelayedSource::FetchFromPeer(const FeedPeer& peer,
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
        avoided_peers_[address] = BootClock::now() + kPeerAvoidDuration;
        callback(NoAnswerFromStore());
      });
}

FleetSource::Callback RelayedSource::WithStoreTracking(SourceTopic topic,
                                                       CallKind kind,
                                                       Callback callback) {
  return [this, topic, kind,
          callback = std::move(callback)](const SourceAnswer& answer) {
    if (IsAnswered(answer.outcome)) {
      last_answers_[topic] = {
          BootClock::now(), kind == CallKind::kWatch && answer.changes.empty()};
    }
    if (!IsFirstBrokenWatch(topic, kind, answer.outcome)) {
      RecordStoreOutcome(topic, answer.outcome);
    }
    callback(answer);
  };
}

// Whether a watch got no answer for the first time in a row. This alone does
// not count as a failure of the store; the outcome of the next call, a moment
// later, decides. If relays treated one broken watch as a failure of the store,
// all of them would reject their followers at the same moment, and the
// followers would call the store.
bool RelayedSource::IsFirstBrokenWatch(SourceTopic topic,
                                       CallKind kind,
                                       StoreOutcome outcome) {
  if (kind != CallKind::kRead && outcome == StoreOutcome::kUnknown) {
    return broken_watches_.insert(topic).second;
  }
  broken_watches_.erase(topic);
  return false;
}

void RelayedSource::RecordStoreOutcome(SourceTopic topic,
                                       StoreOutcome outcome) {
  const Time now = BootClock::now();
  const StoreAccess before = store_access(now);
  const bool answered = IsAnswered(outcome);
  store_answers_[topic] = answered;
  if (answered) {
    store_failed_at_.reset();
  } else {
    store_failed_at_ = now;
  }
  NotifyIfAccessChanged(before);
}

void RelayedSource::StopUsingStore(SourceTopic topic) {
  const StoreAccess before = store_access(BootClock::now());
  store_answers_[topic] = false;
  NotifyIfAccessChanged(before);
}

void RelayedSource::NotifyIfAccessChanged(StoreAccess before) {
  if (store_access(BootClock::now()) != before) {
    on_access_();
  }
}

bool RelayedSource::ShouldReturnToStore(SourceTopic topic, Time now) {
  return away_from_store_.contains(topic) && FollowsPeer(topic) &&
         Choose(now).kind == RelayKind::kStore;
}

std::optional<Time> RelayedSource::StoreAnsweredAt(SourceTopic topic) const {
  const auto last = last_answers_.find(topic);
  return last == last_answers_.end() ? std::nullopt
                                     : std::optional(last->second.arrived_at);
}

StoreAccess RelayedSource::store_access(Time now) const {
  if (IsStoreFailed(now)) {
    return StoreAccess::kFailing;
  }
  const bool watching =
      store_answers_.size() > 1 &&
      std::all_of(store_answers_.begin(), store_answers_.end(),
                  [](const auto& topic) { return topic.second; });
  return watching ? StoreAccess::kWatching : StoreAccess::kFollowingPeer;
}

}  // namespace pathcleat
