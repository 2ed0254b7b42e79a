// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/fleet_sync.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <set>
#include <utility>

#include "pathcleat/core/hash.hpp"
#include "pathcleat/core/random_token.hpp"
#include "pathcleat/feeds/latest_changes.hpp"
#include "pathcleat/fleet/up_to_date_host.hpp"

namespace pathcleat {
namespace {

constexpr std::array kTopics{SourceTopic::kOrders, SourceTopic::kUpstreams};
constexpr std::size_t kMaxJournalEntries = 4'096;
// A newer configuration version that no host has reported for this long is
// ignored. Equal to the time after which a host without heartbeats counts as
// dead.
constexpr Duration kLagTtl{2'500'000};
// Entries of upstreams may lapse while the store is unreachable. Upstreams that
// are alive are listed again within this time after the store is reachable
// again.
constexpr Duration kLapseTimeout{2'000'000};
// While the store is unreachable, the entries of many upstreams lapse at about
// the same time. If less than this share of the listed upstreams is removed at
// once, these upstreams have really left.
constexpr double kMinLapseShare = 0.25;
// How long a removed upstream is remembered, to report that it is listed again.
constexpr Duration kGoneTtl = std::chrono::minutes(5);

std::uint32_t ToWholeMilliseconds(Duration age) {
  constexpr double kMaxMilliseconds = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
      std::min(kMaxMilliseconds, ToMilliseconds(age)));
}

std::uint64_t ChangeVersionOf(const HostVersions& versions, SourceTopic topic) {
  return topic == SourceTopic::kOrders ? versions.orders : versions.upstreams;
}

int DomainCountOf(const EntrySettings& settings) {
  return static_cast<int>(settings.region_of_domain.size());
}

// How long ago this host learnt that an upstream leaves, and last began to
// write a request to it, as far as either happened.
EventFields AgesOf(const UpstreamState& upstream, Time now) {
  const auto age = [now](const char* name, const std::optional<Time>& at) {
    return at ? EventFields{MillisecondsField(name, now - *at)} : EventFields();
  };
  EventFields ages = age(field::kKnownMs, upstream.leaving_known_at);
  const EventFields last_send = age(field::kLastSendMs, upstream.last_write_at);
  ages.insert(ages.end(), last_send.begin(), last_send.end());
  return ages;
}

}  // namespace

FleetSync::FleetSync(GatewayState& state,
                     FleetSource& store,
                     std::function<void(const RoutingConfig&)> on_config,
                     std::function<void()> on_access)
    : state_(state),
      on_config_(std::move(on_config)),
      on_access_(std::move(on_access)),
      peer_feed_(state.loop, state.events, state.peer_traffic, *this),
      watch_schedule_(state.settings.bounds.contact),
      source_(store,
              peer_feed_,
              state.hosts,
              DomainCountOf(state.settings),
              watch_schedule_,
              [this] { OnAccessChanged(); }),
      orders_watcher_(
          state.loop,
          source_,
          SourceTopic::kOrders,
          [this](const SourceUpdate& update) { OnOrders(update); },
          [this](bool reached) {
            OnStoreReachability(reached, SourceTopic::kOrders);
          }),
      upstreams_watcher_(
          state.loop,
          source_,
          SourceTopic::kUpstreams,
          [this](const SourceUpdate& update) { OnUpstreams(update); },
          [this](bool reached) {
            OnStoreReachability(reached, SourceTopic::kUpstreams);
          }),
      config_lag_(kLagTtl),
      upstream_journal_(kMaxJournalEntries) {}

void FleetSync::Start() {
  if (std::exchange(started_, true)) {
    return;
  }
  orders_watcher_.Start();
  upstreams_watcher_.Start();
}

bool FleetSync::IsLoaded() const {
  return state_.routes.IsLoaded() && upstreams_watcher_.IsLoaded();
}

void FleetSync::OnStallEnded(Time since) {
  RestartWatchIfOlder(SourceTopic::kOrders, since);
  RestartWatchIfOlder(SourceTopic::kUpstreams, since);
}

// A watch at another host is not restarted here: the versions that other hosts
// report show whether this watch still works.
void FleetSync::RestartWatchIfOlder(SourceTopic topic, Time since) {
  if (!source_.FollowsPeer(topic)) {
    WatcherOf(topic).RestartIfOlderThan(since);
  }
}

HostVersions FleetSync::Versions() const {
  HostVersions versions;
  versions.config = state_.routes.version();
  versions.orders = orders_watcher_.newest_change_version();
  versions.upstreams = upstreams_watcher_.newest_change_version();
  const Time now = BootClock::now();
  versions.store_access = source_.store_access(now);
  if (versions.config > 0) {
    versions.config_age_ms =
        ToWholeMilliseconds(now - state_.routes_applied_at);
  }
  for (const SourceTopic topic : kTopics) {
    if (const auto answered_at = source_.StoreAnsweredAt(topic)) {
      versions.store_answer_ages.Set(topic, now - *answered_at);
    }
  }
  return versions;
}

SourceWatcher& FleetSync::WatcherOf(SourceTopic topic) {
  return topic == SourceTopic::kOrders ? orders_watcher_ : upstreams_watcher_;
}

const SourceWatcher& FleetSync::WatcherOf(SourceTopic topic) const {
  return topic == SourceTopic::kOrders ? orders_watcher_ : upstreams_watcher_;
}

void FleetSync::OnPeerVersions(const std::string& from,
                               const HostVersions& versions) {
  NotePeerAnswers(versions, BootClock::now());
  config_lag_.OnPeerVersion(versions.config,
                            std::chrono::milliseconds(versions.config_age_ms),
                            BootClock::now());
  FetchIfBehind(SourceTopic::kOrders, from, versions.orders);
  FetchIfBehind(SourceTopic::kUpstreams, from, versions.upstreams);
}

void FleetSync::NotePeerAnswers(const HostVersions& versions, Time now) {
  for (const SourceTopic topic : kTopics) {
    if (const auto age = versions.store_answer_ages.Of(topic)) {
      Time& last = peers_answered_at_[topic];
      last = std::max(last, now - *age);
    }
  }
}

std::optional<Time> FleetSync::FleetAnsweredAt(SourceTopic topic) const {
  const std::optional<Time> own = source_.StoreAnsweredAt(topic);
  const auto peers = peers_answered_at_.find(topic);
  if (peers == peers_answered_at_.end()) {
    return own;
  }
  return std::max(own, std::optional(peers->second));
}

// The store may have taken this host's watch without ever answering it. While
// any host hears from the store, that host tells the others of each change. A
// watch that has just begun is given as much time as an answer.
void FleetSync::RestartOverdueWatch(SourceTopic topic, Time now) {
  const std::optional<Time> answered_at = FleetAnsweredAt(topic);
  if (!started_ || !answered_at || source_.FollowsPeer(topic)) {
    return;
  }
  SourceWatcher& watcher = WatcherOf(topic);
  const Time watch_started_at = watcher.watch_started_at();
  const Time trusted_since = std::max(*answered_at, watch_started_at);
  const auto share =
      restart_delay_share_.try_emplace(topic, UnitIntervalHash(RandomToken()));
  if (!watch_schedule_.IsOverdue(now - trusted_since, share.first->second)) {
    return;
  }
  if (!watcher.RestartIfOlderThan(now)) {
    return;
  }
  restart_delay_share_.erase(topic);
  const Time own_answer_at = source_.StoreAnsweredAt(topic).value_or(Time());
  state_.events.Record(
      EventCode::kWatchUnanswered, ToString(topic), "",
      {MillisecondsField(field::kWatchMs, now - watch_started_at),
       MillisecondsField(field::kAnswerAgeMs, now - own_answer_at),
       MillisecondsField(field::kFleetAnswerAgeMs, now - *answered_at)});
}

void FleetSync::FetchIfBehind(SourceTopic topic,
                              const std::string& from,
                              std::uint64_t changed) {
  const Time now = BootClock::now();
  SourceWatcher& watcher = WatcherOf(topic);
  watcher.OnPeerVersion(changed, now);
  if (!watcher.IsBehind(changed, now) || is_fetching_[topic]) {
    return;
  }
  // The update can be fetched from any host that has a newer version, not only
  // from the sender of these versions.
  const HostEntry* up_to_date_host = ChooseUpToDateHost(
      state_.hosts,
      [topic,
       known = watcher.newest_change_version()](const HostVersions& versions) {
        return ChangeVersionOf(versions, topic) > known;
      },
      StableHash(from), now);
  if (up_to_date_host != nullptr) {
    FetchFromPeer(topic, {up_to_date_host->info.name,
                          up_to_date_host->info.peer_address});
  }
}

void FleetSync::FetchFromPeer(SourceTopic topic, const FeedPeer& peer) {
  const SourceWatcher& watcher = WatcherOf(topic);
  const std::uint64_t after = watcher.IsLoaded() ? watcher.version() : 0;
  is_fetching_[topic] = true;
  peer_feed_.Fetch(peer, {topic, after, Duration(0)},
                   [this, topic, name = peer.name](
                       const std::optional<FeedResponse>& answer) {
                     is_fetching_[topic] = false;
                     if (answer) {
                       ApplyPeerResponse(topic, name, *answer);
                     }
                   });
}

void FleetSync::ApplyPeerResponse(SourceTopic topic,
                                  const std::string& peer,
                                  const FeedResponse& answer) {
  if (!WatcherOf(topic).ApplyIfNewer(
          ToSourceAnswer(answer.snapshot, answer.transfer))) {
    return;
  }
  state_.events.Record(EventCode::kTakenFromPeer, peer,
                       std::string(ToString(topic)) + " up to version " +
                           std::to_string(answer.snapshot.version));
}

std::uint64_t FleetSync::NewestVersion(SourceTopic topic) const {
  return WatcherOf(topic).newest_change_version();
}

const RoutingConfig* FleetSync::Config() const {
  return state_.routes.IsLoaded() ? &state_.routes.config() : nullptr;
}

FleetSnapshot FleetSync::MakeSnapshot(const FeedRequest& request) {
  const SourceWatcher& watcher = WatcherOf(request.topic);
  FleetSnapshot snapshot;
  snapshot.topic = request.topic;
  snapshot.version = watcher.version();
  snapshot.newest_change_version = watcher.newest_change_version();
  snapshot.removals_uncertain = BootClock::now() < removals_uncertain_until_;
  if (request.topic == SourceTopic::kOrders) {
    AddOrders(snapshot, request.config_version);
  } else {
    AddUpstreams(snapshot, request.after);
  }
  return snapshot;
}

void FleetSync::AddOrders(FleetSnapshot& snapshot, std::uint64_t known) {
  snapshot.drained_domains = state_.upstreams.drained_domains();
  snapshot.rollout_orders = state_.rollouts.orders();
  const RoutingConfig* config = Config();
  if (config != nullptr && config->version > known) {
    snapshot.config_update = config_history_.EncodedUpdateSince(*config, known);
  }
}

void FleetSync::AddUpstreams(FleetSnapshot& snapshot,
                             std::uint64_t after) const {
  const Time now = BootClock::now();
  const auto changed = upstream_journal_.ChangedSince(after);
  snapshot.is_full = after == 0 || !changed;
  std::set<std::string> gone;
  if (!snapshot.is_full) {
    gone = *changed;
  }
  for (const UpstreamPtr& upstream : state_.upstreams.All()) {
    const bool included =
        snapshot.is_full || changed->contains(upstream->info.id);
    if (!included || upstream->lapse_deadline) {
      continue;
    }
    gone.erase(upstream->info.id);
    UpstreamInfo info = upstream->info;
    info.cold_remaining =
        std::max(Duration::zero(), upstream->cold_until - now);
    snapshot.upstreams.push_back(info);
  }
  snapshot.removed_upstreams.assign(gone.begin(), gone.end());
}

void FleetSync::OnUpstreams(const SourceUpdate& update) {
  const LoopTurnTimer turn(state_.loop_turns, LoopTask::kUpstreamList,
                           update.transfer.decode_time);
  if (update.is_full) {
    ApplyUpstreams(update);
    return;
  }
  SourceUpdate latest = update;
  latest.changes = LatestChanges(update.changes);
  ApplyUpstreams(latest);
}

void FleetSync::ApplyUpstreams(const SourceUpdate& update) {
  const Time now = BootClock::now();
  if (const auto behind = upstreams_watcher_.last_lag()) {
    state_.send_stages.Add(SendStage::kListBehind, *behind);
  }
  const bool may_be_relisted = MayBeRelisted(update, now);
  last_list_transfer_ = update.transfer;
  if (update.relayed && !update.removals_uncertain) {
    LimitLapseDeadlines(now + kLapseTimeout);
  }
  if (update.is_full) {
    upstream_journal_.ResetTo(update.version);
  }
  std::set<std::string> listed;
  for (const FleetChange& change : update.changes) {
    if (const auto* upstream = std::get_if<UpstreamInfo>(&change)) {
      listed.insert(upstream->id);
      upstream_journal_.Append(update.newest_change_version, upstream->id);
      OnUpstreamListed(*upstream, now);
    } else if (const auto* gone = std::get_if<UpstreamRemoval>(&change)) {
      upstream_journal_.Append(update.newest_change_version, gone->id);
      OnUpstreamRemoved(gone->id, may_be_relisted, now);
    } else if (const auto* bad = std::get_if<UnreadableRow>(&change)) {
      OnUnreadableUpstream(*bad, update.newest_change_version, now);
    }
  }
  if (update.is_full) {
    for (const UpstreamPtr& upstream : state_.upstreams.All()) {
      if (!listed.contains(upstream->info.id)) {
        OnUpstreamRemoved(upstream->info.id, may_be_relisted, now);
      }
    }
  }
  state_.upstream_list_version = upstreams_watcher_.version();
  state_.upstream_list_changed_at = now;
  state_.RefreshRollouts();
  state_.UpdateHostShares(now);
  peer_feed_.Publish(SourceTopic::kUpstreams);
}

void FleetSync::OnUpstreamListed(const UpstreamInfo& upstream, Time now) {
  if (!state_.settings.region_of_domain.contains(upstream.domain)) {
    RecordUnreadable(
        SourceTopic::kUpstreams,
        {upstream.id, "no such failure domain: " + upstream.domain});
    OnUpstreamRemoved(upstream.id, false, now);
    return;
  }
  unreadable_rows_.Forget(SourceTopic::kUpstreams, upstream.id);
  const bool restarted = state_.upstreams.Put(upstream, now);
  const auto gone = gone_at_.find(upstream.id);
  if (gone != gone_at_.end()) {
    RecordListEvent(EventCode::kUpstreamRelisted, upstream.id,
                    {MillisecondsField(field::kElapsedMs, now - gone->second)});
    gone_at_.erase(gone);
  }
  if (restarted) {
    state_.connection_pool.CloseConnections(upstream.id);
  }
  if (upstream.leaving) {
    state_.connection_pool.CloseConnections(upstream.id);
    state_.upstreams.NoteLeavingKnown(upstream.id, now);
    RecordListEvent(EventCode::kUpstreamLeaving, upstream.id, {});
  }
}

// While the store is unreachable, a pending watch may report entries as
// removed that only lapsed because the upstreams could not renew them.
bool FleetSync::MayBeRelisted(const SourceUpdate& update, Time now) const {
  const bool uncertain = update.relayed
                             ? update.removals_uncertain
                             : store_lost_ || now < removals_uncertain_until_;
  const auto listed = static_cast<double>(state_.upstreams.size());
  return uncertain &&
         static_cast<double>(CountRemoved(update)) >= listed * kMinLapseShare;
}

std::size_t FleetSync::CountRemoved(const SourceUpdate& update) const {
  std::size_t matching_count = 0;
  for (const FleetChange& change : update.changes) {
    const bool counts = update.is_full
                            ? std::holds_alternative<UpstreamInfo>(change)
                            : std::holds_alternative<UpstreamRemoval>(change);
    matching_count += counts ? 1 : 0;
  }
  if (!update.is_full) {
    return matching_count;
  }
  const std::size_t listed = state_.upstreams.size();
  return listed - std::min(listed, matching_count);
}

// Sets the deadlines of lapsed upstreams to `until` where they are later.
// Called when the store is reachable again, or another host reports that the
// store is reachable: upstreams whose entries lapsed while the store was
// unreachable must be listed again by `until`.
void FleetSync::LimitLapseDeadlines(Time until) {
  for (const UpstreamPtr& upstream : state_.upstreams.LapsedUpstreams()) {
    upstream->lapse_deadline = std::min(*upstream->lapse_deadline, until);
  }
}

void FleetSync::OnUpstreamRemoved(const std::string& id,
                                  bool may_be_relisted,
                                  Time now) {
  const Time lapse_deadline = store_lost_ ? Time::max() : now + kLapseTimeout;
  if (may_be_relisted && state_.upstreams.Lapse(id, lapse_deadline)) {
    return;
  }
  const UpstreamPtr upstream = state_.upstreams.Find(id);
  if (!upstream) {
    return;
  }
  state_.upstreams.Remove(id);
  state_.connection_pool.CloseConnections(id);
  gone_at_[id] = now;
  RecordListEvent(EventCode::kUpstreamGone, id, AgesOf(*upstream, now));
}

void FleetSync::RecordListEvent(EventCode code,
                                const std::string& upstream,
                                EventFields more_fields) {
  EventFields fields = {
      IntegerField(field::kListVersion, upstreams_watcher_.version()),
      {field::kFrom, last_list_transfer_.from},
      IntegerField(field::kBytes, last_list_transfer_.bytes),
      MillisecondsField(field::kTransferMs, last_list_transfer_.transfer_time)};
  fields.insert(fields.end(), more_fields.begin(), more_fields.end());
  state_.events.Record(code, upstream, "", std::move(fields));
}

void FleetSync::Tick(Time now) {
  std::erase_if(gone_at_, [now](const auto& entry) {
    return now - entry.second > kGoneTtl;
  });
  for (const UpstreamPtr& upstream : state_.upstreams.LapsedUpstreams()) {
    if (now >= *upstream->lapse_deadline) {
      OnUpstreamRemoved(upstream->info.id, false, now);
    }
  }
  state_.orders_answered_at =
      FleetAnsweredAt(SourceTopic::kOrders).value_or(state_.started_at);
  for (const SourceTopic topic : kTopics) {
    if (source_.ShouldReturnToStore(topic, now)) {
      WatcherOf(topic).RestartIfOlderThan(now);
    }
    RestartOverdueWatch(topic, now);
  }
}

void FleetSync::OnStoreReachability(bool reached, SourceTopic topic) {
  state_.store_reachable = reached;
  if (reached) {
    const SourceTopic other = topic == SourceTopic::kOrders
                                  ? SourceTopic::kUpstreams
                                  : SourceTopic::kOrders;
    RestartWatchIfOlder(other, store_failed_at_);
  } else {
    store_failed_at_ = BootClock::now();
  }
  if (reached && store_lost_) {
    removals_uncertain_until_ = BootClock::now() + kLapseTimeout;
    LimitLapseDeadlines(removals_uncertain_until_);
  }
  store_lost_ = !reached;
  state_.events.Record(
      reached ? EventCode::kPlatformUp : EventCode::kPlatformDown,
      ToString(topic),
      reached ? "the store answers" : "the store does not answer");
}

void FleetSync::OnAccessChanged() {
  const bool watching =
      source_.store_access(BootClock::now()) == StoreAccess::kWatching;
  peer_feed_.SetWatchingStore(watching && !state_.leaving);
  on_access_();
}

}  // namespace pathcleat
