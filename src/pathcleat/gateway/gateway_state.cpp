// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/gateway_state.hpp"

#include <algorithm>
#include <set>

#include "pathcleat/core/hash.hpp"
#include "pathcleat/settings/host_limits.hpp"

namespace pathcleat {
namespace {

constexpr std::size_t kMaxEvents = 512;
constexpr std::size_t kMaxTraces = 256;
// A host without heartbeats for this long counts as dead. Heartbeats arrive
// twice a second, from other regions once a second.
constexpr Duration kHostTimeout{2'500'000};
// Shares of the bounds for retries (ratio and burst) that are distributed among
// the hosts. The rest is a reserve, because the windows in which hosts count
// retries slide, and because hosts detect each other's start and stop with a
// delay.
constexpr double kRetryShare = 0.7;
constexpr double kRetrySlackShare = 0.6;
// A host that sees this share of the fleet alive is in the majority: if a
// partition splits the fleet, at most one part sees two thirds of it.
constexpr double kMajorityShare = 0.67;
// A host that starts receives heartbeats of all other hosts within
// kDiscoveryTime. A host that has sent no heartbeat by then may be partitioned
// from this host, or may have been removed for good; it counts as never seen
// until kNeverSeenWindow after the start.
constexpr Duration kDiscoveryTime{3'000'000};
constexpr Duration kNeverSeenWindow{10'000'000};

// A host that was silent for longer than this is gone rather than partitioned.
constexpr Duration kPartitionWindow = std::chrono::minutes(10);

HostInfo MakeSelfInfo(const EntrySettings& settings,
                      std::uint64_t incarnation) {
  HostInfo self;
  self.name = settings.host;
  self.incarnation = incarnation;
  self.domain = settings.domain;
  self.region = settings.region;
  self.caller_address = settings.listen.callers;
  self.link_mbps = settings.link_mbps;
  self.capacity = {settings.cpu_cores, settings.max_descriptors};
  self.peer_address =
      settings.peer_address + ":" + std::to_string(settings.peer_port);
  return self;
}

std::vector<std::string> RegionsOf(const EntrySettings& settings) {
  std::set<std::string> regions;
  for (const auto& [domain, region] : settings.region_of_domain) {
    regions.insert(region);
  }
  return {regions.begin(), regions.end()};
}

PickerSettings PickerSettingsOf(const EntrySettings& settings) {
  PickerSettings picker;
  picker.domain = settings.domain;
  picker.region = settings.region;
  picker.cross_domain_cost_per_gigabyte =
      settings.transfer_costs.between_domains;
  picker.cross_region_cost_per_gigabyte =
      settings.transfer_costs.between_regions;
  picker.link_limits = settings.link_limits;
  picker.policy = settings.policy;
  return picker;
}

}  // namespace

GatewayState::GatewayState(boost::asio::io_context& event_loop,
                           const EntrySettings& entry_settings,
                           const HeaderNames& header_names,
                           TableStore& store,
                           const KeyedHasher& key_hasher,
                           std::uint64_t incarnation)
    : loop(event_loop),
      settings(entry_settings),
      headers(header_names),
      events(settings.host, kMaxEvents),
      memory_budget(std::make_shared<MemoryBudget>(
          MemoryBudgetBytes(settings.memory_mb))),
      memory_monitor(events, settings.host),
      rejections(events, settings.request_log.failures_per_second),
      hosts(MakeSelfInfo(settings, incarnation), kHostTimeout),
      locate(hosts),
      account_key_hasher(key_hasher),
      quotas(settings.domain,
             settings.host,
             MixHashes(StableHash(settings.host), incarnation)),
      upstreams(settings.region_of_domain, settings.policy),
      picker(PickerSettingsOf(settings), upstreams),
      connection_pool(loop),
      reach(connection_pool, events, settings.host, upstreams, routes),
      forwards(loop),
      idempotency_keys(loop, store, events),
      client_regions(RegionsOf(settings)),
      traces(kMaxTraces),
      request_log(events, settings.request_log),
      rollouts(settings.domain,
               MixHashes(StableHash(settings.host), incarnation),
               settings.bounds.rollout),
      crashes(settings.domain, settings.host),
      listen_probe(loop),
      unknown_headers(headers),
      upstream_statements(upstreams, settings.host, settings.domain) {
  connection_pool.SetMemoryBudget(memory_budget);
  forwards.connections.SetMemoryBudget(memory_budget);
  upstream_statements.SetOnChange(
      [this](UpstreamState& upstream, LimitChange change) {
        OnLimitChange(upstream, change);
      });
  upstream_statements.SetOnLeavingChange(
      [this](const UpstreamState& upstream, const LeavingStatement& statement) {
        OnLeavingChange(upstream, statement);
      });
  loop_turns.SetOnSlow([this](LoopTask task, Duration duration) {
    events.Record(EventCode::kLoopSlow, settings.host, "",
                  {{field::kTask, ToString(task)},
                   MillisecondsField(field::kElapsedMs, duration)});
  });
  crashes.SetOnBlockChange([this](const CrashBlockChange& change) {
    events.Record(change.blocked ? EventCode::kRequestBlocked
                                 : EventCode::kRequestUnblocked,
                  ToText(change.request), "", ToEventFields(change.decision));
  });
}

double GatewayState::RetryBurst(Time now) const {
  return settings.bounds.retry_slack * kRetrySlackShare /
         hosts.LimitSharerCount(now);
}

RetryBudget& GatewayState::RetryBudgetOf(const std::string& service) {
  const auto found = retry_budgets.find(service);
  if (found != retry_budgets.end()) {
    return found->second;
  }
  return retry_budgets
      .emplace(service, RetryBudget(settings.bounds.retry_ratio * kRetryShare,
                                    RetryBurst(BootClock::now())))
      .first->second;
}

void GatewayState::OnAttemptFailed(UpstreamState& upstream) {
  const bool was_suspect = upstream.health.IsSuspect();
  upstream.health.OnFailure(BootClock::now());
  if (!was_suspect && upstream.health.IsSuspect()) {
    events.Record(EventCode::kUpstreamDown, upstream.info.id,
                  "consecutive failures; no requests until its retry time");
  }
}

void GatewayState::OnAttemptEnded(UpstreamState& upstream) {
  upstream.load.OnEnded();
  upstream.health.OnEnded();
  picker.links().OnEnded(upstream.region);
}

void GatewayState::UpdateHostShares(Time now) {
  picker.links().SetHostCount(hosts.LimitSharerCountIn(settings.region, now));
  picker.SetHostCounts(hosts.LimitSharerCountsByRegion(now));
  for (auto& [service, budget] : retry_budgets) {
    budget.SetBurst(RetryBurst(now));
  }
  UpdateQuotaHosts(now);
  picker.SetPinnedDemand(
      quotas.control().DemandByAllowedRegion(accounts.All(), now));
  upstream_statements.Tick(now);
  for (const UpstreamPtr& upstream : upstreams.EndBackoffs(now)) {
    events.Record(EventCode::kUpstreamBackoffEnded, upstream->info.id, "");
  }
  UpdateRateShares(now);
}

void GatewayState::TickCrashes(Time now) {
  if (crashes.IsEmpty()) {
    return;
  }
  std::vector<std::uint64_t> others;
  for (const HostEntry* host : hosts.Others()) {
    if (hosts.IsAlive(*host, now) && !host->info.leaving) {
      others.push_back(StableHash(host->info.name));
    }
  }
  crashes.SetOtherHosts(std::move(others));
  crashes.Tick(now);
}

void GatewayState::RefreshRollouts() {
  for (auto& [service, rollout] : rollouts.All()) {
    int in_flight_on_others = 0;
    for (const UpstreamPtr& upstream : upstreams.ForService(service)) {
      in_flight_on_others += rollout.IsReplaced(upstream->info.version)
                                 ? upstream->load.own_in_flight()
                                 : 0;
    }
    rollout.SetLocalState(upstreams.VersionsOf(service),
                          static_cast<std::uint32_t>(in_flight_on_others));
  }
}

// A host that sends no heartbeats may be alive but partitioned from this host,
// so each host counts as a sharer of the limits as long as it is listed.
void GatewayState::UpdateQuotaHosts(Time now) {
  const auto others = hosts.Others();
  QuotaHosts sharers;
  sharers.host_count = static_cast<int>(others.size()) + 1;
  sharers.alive_count = hosts.AliveCount(now);
  sharers.sees_majority =
      sharers.alive_count >= sharers.host_count * kMajorityShare;
  const Duration running = now - started_at;
  if (running > kDiscoveryTime && running < kNeverSeenWindow) {
    sharers.never_seen_count = static_cast<int>(std::count_if(
        others.begin(), others.end(),
        [](const HostEntry* host) { return !host->has_heartbeat; }));
  }
  quotas.control().SetBounds(settings.bounds.quota);
  quotas.control().SetHosts(sharers, now);
}

void GatewayState::UpdateRateShares(Time now) {
  const auto& rate_bounded = upstreams.RateBoundCandidates(now);
  if (rate_bounded.empty()) {
    return;
  }
  RateSenders senders(StableHash(settings.host), settings.region);
  int fleet_size = 1;
  for (const HostEntry* host : hosts.Others()) {
    if (hosts.SharesLimits(*host, now)) {
      senders.AddHost(StableHash(host->info.name), host->info.region);
    }
    const bool may_be_alive =
        !host->info.leaving && now - host->last_seen < kPartitionWindow;
    fleet_size += may_be_alive ? 1 : 0;
  }
  senders.SetFleetSize(fleet_size);
  for (const UpstreamPtr& upstream : rate_bounded) {
    if (const auto bound = RateBoundOf(*upstream, now)) {
      upstream->rate_share.SetRate(
          senders.Rate(*bound, upstream->hash, upstream->region), now);
    }
  }
}

// An upstream may be cold and state a rate limit at the same time; then the
// lower of the two bounds applies.
std::optional<RateBound> GatewayState::RateBoundOf(
    const UpstreamState& upstream,
    Time now) const {
  const FleetBounds& bounds = settings.bounds;
  const ServiceInfo* service = routes.FindService(upstream.info.service);
  std::optional<RateBound> bound;
  if (upstream.IsCold(now) && service != nullptr) {
    bound = RateBound{service->cold_per_second, bounds.cold_slack};
  }
  if (upstream.limit.IsInForce(now)) {
    const double per_second = upstream.limit.PerSecond(now);
    const double window =
        std::chrono::duration<double>(bounds.limit_window).count();
    const RateBound limit{
        per_second,
        bounds.limit_slack + bounds.limit_overage * per_second * window};
    bound = bound ? bound->MinWith(limit) : limit;
  }
  return bound;
}

// With a new limit, this host sends nothing more to the upstream until the next
// tick has computed its share.
void GatewayState::OnLimitChange(UpstreamState& upstream, LimitChange change) {
  const Time now = BootClock::now();
  if (change == LimitChange::kStarted) {
    upstream.rate_share.SetRate(0, now);
  }
  const LimitObservation& observation = *upstream.limit.observation();
  events.Record(
      change == LimitChange::kEnded ? EventCode::kUpstreamLimitEnded
                                    : EventCode::kUpstreamLimited,
      upstream.info.id, "",
      {{field::kLimitPerSecond, observation.per_second.value_or(0)},
       {field::kFrom, observation.host},
       MillisecondsField(field::kAgeMs, now - observation.observed_at)});
}

void GatewayState::OnLeavingChange(const UpstreamState& upstream,
                                   const LeavingStatement& statement) {
  const Time now = BootClock::now();
  if (statement.leaving) {
    connection_pool.CloseConnections(upstream.info.id);
    upstreams.NoteLeavingKnown(upstream.info.id, now);
  }
  events.Record(statement.leaving ? EventCode::kUpstreamAnnouncedLeaving
                                  : EventCode::kUpstreamLeavingRevoked,
                upstream.info.id, "",
                {{field::kFrom, statement.host},
                 MillisecondsField(field::kAgeMs, now - statement.stated_at)});
}

}  // namespace pathcleat
