// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/gateway_state.hpp"

#include <algorithm>
#include <set>

#include "pathcleat/core/hash.hpp"

namespace pathcleat {
namespace {

constexpr std::size_t kEventsKept = 512;
constexpr std::size_t kTracesKept = 256;
// Heartbeats come twice a second, from other regions once.
constexpr Duration kHostSilence{2'500'000};
// Of what all hosts may retry this much is given out: windows slide, and
// hosts see each other come and go late.
constexpr double kRetryShare = 0.7;
constexpr double kSlackShare = 0.6;
// Two thirds: where a fleet is cut apart, one part at most hears so many.
constexpr double kMostOfFleet = 0.67;
// A host that starts hears all others within 3 s. One that it has not heard by
// then may be cut off from it, or be gone for good.
constexpr Duration kHeardWithin{3'000'000};
constexpr Duration kUnheardCountsFor{10'000'000};

// A host that was not heard for longer is gone and not cut off.
constexpr Duration kMayBeCutOffFor = std::chrono::minutes(10);

HostInfo SelfOf(const EntrySettings& settings, std::uint64_t incarnation) {
  HostInfo self;
  self.name = settings.host;
  self.incarnation = incarnation;
  self.domain = settings.domain;
  self.region = settings.region;
  self.caller_address = settings.listen.callers;
  self.link_mbps = settings.link_mbps;
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
                           const KeyedHasher& key_digester,
                           std::uint64_t incarnation)
    : loop(event_loop),
      settings(entry_settings),
      headers(header_names),
      events(settings.host, kEventsKept),
      hosts(SelfOf(settings, incarnation), kHostSilence),
      account_key_hasher(key_digester),
      quotas(settings.domain,
             settings.host,
             MixHashes(StableHash(settings.host), incarnation)),
      upstreams(settings.region_of_domain, settings.policy),
      picker(PickerSettingsOf(settings), upstreams),
      connection_pool(loop),
      idempotency_keys(loop, store, events),
      client_regions(RegionsOf(settings)),
      traces(kTracesKept),
      request_log(events, settings.request_log),
      rollouts(settings.domain,
               MixHashes(StableHash(settings.host), incarnation)),
      crashes(settings.domain, settings.host),
      listen_probe(loop),
      unknown_headers(headers),
      upstream_limits(upstreams, settings.host, settings.domain) {
  upstream_limits.SetOnChange(
      [this](UpstreamState& upstream, LimitChange change) {
        OnLimitChange(upstream, change);
      });
  crashes.SetOnBlockChange([this](const CrashBlockChange& notice) {
    events.Record(notice.blocked ? EventCode::kRequestBlocked
                                 : EventCode::kRequestUnblocked,
                  ToText(notice.request), "", ToEventFields(notice.decision));
  });
}

double GatewayState::RetryBurst(Time now) const {
  return settings.bounds.retry_slack * kSlackShare /
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
                  "failures in a row; left alone for a while");
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
  ShareQuotas(now);
  picker.SetPinnedDemand(
      quotas.control().DemandByHomeRegion(accounts.All(), now));
  upstream_limits.Tick(now);
  ShareRates(now);
}

void GatewayState::TickCrashes(Time now) {
  if (crashes.IsEmpty()) {
    return;
  }
  std::vector<std::uint64_t> others;
  for (const KnownHost* host : hosts.Others()) {
    if (hosts.IsAlive(*host, now) && !host->info.leaving) {
      others.push_back(StableHash(host->info.name));
    }
  }
  crashes.SetOtherHosts(std::move(others));
  crashes.Tick(now);
}

void GatewayState::RefreshRollouts() {
  for (auto& [service, rollout] : rollouts.All()) {
    int on_others = 0;
    for (const UpstreamPtr& upstream : upstreams.ForService(service)) {
      const bool fresh = upstream->info.version == rollout.order().version;
      on_others += fresh ? 0 : upstream->load.own_in_flight();
    }
    rollout.SetLocalState(upstreams.VersionsOf(service),
                          static_cast<std::uint32_t>(on_others));
  }
}

// A host that died may be one that was cut off: it counts as long as it is
// known.
void GatewayState::ShareQuotas(Time now) {
  const auto others = hosts.Others();
  QuotaHosts sharers;
  sharers.host_count = static_cast<int>(others.size()) + 1;
  sharers.sees_majority =
      hosts.AliveCount(now) >= sharers.host_count * kMostOfFleet;
  const Duration running = now - started_at;
  if (running > kHeardWithin && running < kUnheardCountsFor) {
    sharers.never_seen_count = static_cast<int>(std::count_if(
        others.begin(), others.end(),
        [](const KnownHost* host) { return !host->has_heartbeat; }));
  }
  quotas.control().SetBounds(settings.bounds.quota);
  quotas.control().SetHosts(sharers, now);
}

void GatewayState::ShareRates(Time now) {
  const auto& bounded = upstreams.MaybeRateBounded(now);
  if (bounded.empty()) {
    return;
  }
  RateSenders senders(StableHash(settings.host), settings.region);
  int known = 1;
  for (const KnownHost* host : hosts.Others()) {
    if (hosts.SharesLimits(*host, now)) {
      senders.AddHost(StableHash(host->info.name), host->info.region);
    }
    const bool may_live =
        !host->info.leaving && now - host->last_seen < kMayBeCutOffFor;
    known += may_live ? 1 : 0;
  }
  senders.SetFleetSize(known);
  for (const UpstreamPtr& upstream : bounded) {
    if (const auto bound = BoundOf(*upstream, now)) {
      upstream->rate_share.SetRate(
          senders.Rate(*bound, upstream->hash, upstream->region), now);
    }
  }
}

// An upstream may be cold and in need at once.
std::optional<RateBound> GatewayState::BoundOf(const UpstreamState& upstream,
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

// Until the next tick shares the limit out, this host sends nothing more.
void GatewayState::OnLimitChange(UpstreamState& upstream, LimitChange change) {
  const Time now = BootClock::now();
  if (change == LimitChange::kStarted) {
    upstream.rate_share.SetRate(0, now);
  }
  const LimitObservation& sign = *upstream.limit.observation();
  events.Record(change == LimitChange::kEnded ? EventCode::kUpstreamLimitEnded
                                              : EventCode::kUpstreamLimited,
                upstream.info.id, "",
                {{field::kLimitPerSecond, sign.per_second.value_or(0)},
                 {field::kFrom, sign.host},
                 MillisecondsField(field::kAgeMs, now - sign.observed_at)});
}

}  // namespace pathcleat
