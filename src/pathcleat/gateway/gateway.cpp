// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/gateway.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "pathcleat/accounts/caller_identity.hpp"
#include "pathcleat/calls/upstream_protocol.hpp"
#include "pathcleat/core/hash.hpp"
#include "pathcleat/core/loop_passes.hpp"
#include "pathcleat/gateway/hold_events.hpp"
#include "pathcleat/gateway/metrics_page.hpp"
#include "pathcleat/gateway/request_handler.hpp"
#include "pathcleat/gateway/request_trace.hpp"
#include "pathcleat/http/http_status.hpp"
#include "pathcleat/http/query_text.hpp"
#include "pathcleat/routing/retry_scheduler.hpp"

namespace pathcleat {
namespace {

constexpr std::size_t kMaxLocatedHosts = 16;
// After a new configuration version is acknowledged, the first host has the
// version within this time: a watch gathers changes for 0.25 s, and a transfer
// of 359 KB takes 0.3 s at 10 Mbit/s.
constexpr Duration kFirstHostLag{500'000};

constexpr const char* kNoConfig = "no configuration yet";

// A forwarded request is as large as a caller's, and carries a token besides.
// The time limits for callers do not apply between hosts: a connection that was
// closed as idle would lose the request that is sent next.
HttpLimits ForwardLimits(const HttpLimits& caller_limits) {
  constexpr std::uint32_t kTokenBytes = 1'024;
  HttpLimits limits;
  limits.max_header_bytes = caller_limits.max_header_bytes + kTokenBytes;
  limits.max_body_bytes = caller_limits.max_body_bytes;
  return limits;
}

}  // namespace

Gateway::Gateway(boost::asio::io_context& loop,
                 const EntrySettings& settings,
                 const HeaderNames& headers,
                 TableStore& store,
                 FleetSource& source,
                 RolloutStatusStore& statuses,
                 KeyedHasher& account_key_hasher)
    : state_(loop, settings, headers, store, account_key_hasher, WallMicros()),
      account_key_hasher_(account_key_hasher),
      secrets_(loop, store, [this] { OnSecrets(); }),
      commands_(store, state_.events, [this] { OnCommands(); }),
      rollout_writer_(settings.host, commands_, statuses, state_.events),
      peer_link_(
          loop,
          state_.hosts,
          state_.events,
          state_.failures,
          state_.peer_traffic,
          {state_.quotas.control(), state_.rollouts, state_.crashes,
           state_.upstream_statements},
          [this] { return Versions(); },
          [this](const std::string& from, const HostVersions& versions) {
            commands_.OnPeerVersion(versions.commands);
            fleet_sync_.OnPeerVersions(from, versions);
          }),
      fleet_sync_(
          state_,
          source,
          [this](const RoutingConfig& config) {
            caller_server_.SetLimits(config.caller_limits);
            fleet_sync_.peer_server().SetLimits(
                ForwardLimits(config.caller_limits));
          },
          [this] { peer_link_.PublishHeartbeat(); }),
      startup_loader_(
          loop,
          store,
          state_.hosts,
          [this](const TableRow& row) { OnTableRow(row); },
          [this] { OnRowsRead(); }),
      caller_server_(loop,
                     [this](const HttpExchangePtr& e) {
                       HandleWhenCaughtUp(e, &Gateway::HandleCaller);
                     }),
      readiness_server_(
          loop,
          [this](const HttpExchangePtr& e) { HandleReadiness(e); }),
      locate_server_(loop,
                     [this](const HttpExchangePtr& e) { HandleLocate(e); }),
      operator_service_(state_, commands_, secrets_),
      operator_server_(
          loop,
          [this](const HttpExchangePtr& e) { operator_service_.Handle(e); }),
      metrics_server_(loop,
                      [this](const HttpExchangePtr& e) { HandleMetrics(e); }),
      ports_(peer_link_),
      cpu_utilization_(settings.cpu_cores),
      start_timer_(loop),
      tick_timer_(loop),
      stop_timer_(loop) {
  fleet_sync_.SetForwardHandler([this](const HttpExchangePtr& e) {
    HandleWhenCaughtUp(e, &Gateway::HandleForwarded);
  });
  state_.reach.SetOnChange([this] {
    state_.failures.Run(EntryPoint::kTick, "reach change",
                        [this] { OnReachChange(); });
  });
  state_.crashes.SetOnUpdate([this] { peer_link_.PublishCrashes(); });
  state_.upstream_statements.SetOnUpdate(
      [this] { peer_link_.PublishStatements(); });
}

bool Gateway::IsReady() const {
  return !state_.leaving && fleet_sync_.IsLoaded() && !IsTooFarBehind() &&
         caller_server_.CanAccept();
}

// Once the bound for applying a new configuration version has passed, requests
// must not be handled with an older version.
bool Gateway::IsTooFarBehind() const {
  const Duration bound = state_.settings.bounds.config_apply - kFirstHostLag;
  return fleet_sync_.config_lag().LagDuration(BootClock::now()) >
         std::max(kFirstHostLag, bound);
}

HostVersions Gateway::Versions() const {
  HostVersions versions = fleet_sync_.Versions();
  versions.commands = commands_.version();
  return versions;
}

void Gateway::OnTableRow(const TableRow& row) {
  if (!secrets_.HandleRow(row)) {
    commands_.HandleRow(row);
  }
}

void Gateway::OnRowsRead() {
  // The first watch may take long to tell: it is answered at the next change.
  state_.store_reachable = true;
  secrets_.OnRowsRead();
  commands_.OnRowsRead();
  peer_link_.Announce();
  fleet_sync_.Start();
}

void Gateway::OnSecrets() {
  peer_link_.SetKey(secrets_.peer_key());
  fleet_sync_.SetKey(secrets_.peer_key());
  state_.fleet_key = secrets_.peer_key();
  account_key_hasher_.SetSecret(secrets_.peer_key());
  state_.request_hasher.SetSecret(secrets_.peer_key());
  peer_link_.Announce();
}

void Gateway::OnCommands() {
  const ConfigState& state = commands_.state();
  state_.upstreams.SetOperatorDrains(state.drained_upstreams,
                                     state.drained_regions);
  state_.picker.shifts().Sync(state, BootClock::now());
  state_.client_regions.Assign(state.blocks);
  RecordHoldChanges(state_.events, state_.rollouts.states(), state.rollouts);
  state_.rollouts.SetStates(state.rollouts);
  state_.RefreshRollouts();
  peer_link_.PublishHeartbeat();
}

void Gateway::AdvanceShifts(Time now) {
  constexpr Duration kAdvanceInterval{1'000'000};
  if (now - shifts_advanced_at_ < kAdvanceInterval) {
    return;
  }
  shifts_advanced_at_ = now;
  state_.picker.shifts().Advance(
      [this, now](const std::string& service, const std::string& region) {
        return state_.picker.TargetStateOf(service, region, now);
      },
      [this](const ShiftStatus& shift) {
        const bool is_step = shift.last_decision == RampDecision::kAdvanced ||
                             shift.last_decision == RampDecision::kAtCap;
        state_.events.Record(
            is_step ? EventCode::kShiftStep : EventCode::kShiftHeld,
            shift.plan.service,
            std::string(ToString(shift.last_decision)) + ", at " +
                std::to_string(shift.current_share) + " of cap " +
                std::to_string(shift.plan.cap));
      },
      now);
}

// All hosts evaluate the same counts of results; the order of the hashes of the
// host names decides which host acts first.
int Gateway::CountHostsAhead(Time now) const {
  const std::uint64_t own = StableHash(state_.settings.host);
  int ahead = 0;
  for (const HostEntry* host : state_.hosts.Others()) {
    const bool is_active =
        state_.hosts.IsAlive(*host, now) && !host->info.leaving;
    ahead += is_active && StableHash(host->info.name) < own ? 1 : 0;
  }
  return ahead;
}

// A host that does not hear most of the others reads the command log itself.
void Gateway::UpdateDecisionFreshness(const std::vector<PeerDecisions>& peers,
                                      Time now) {
  constexpr Duration kReadInterval{500'000};
  state_.decision_freshness.OnPeers(peers, commands_.version(), now);
  if (state_.decision_freshness.IsFresh(now) ||
      now - decisions_read_at_ < kReadInterval) {
    return;
  }
  decisions_read_at_ = now;
  commands_.ReadNewer([this, now](StoreOutcome outcome) {
    if (outcome == StoreOutcome::kDone) {
      state_.decision_freshness.OnLogRead(now);
    }
  });
}

void Gateway::AdvanceRollouts(Time now) {
  if (state_.rollouts.All().empty() && commands_.state().rollouts.empty()) {
    return;
  }
  state_.RefreshRollouts();
  RolloutContext fleet;
  fleet.host_count = state_.hosts.LimitSharerCount(now);
  fleet.time = state_.events.clock().Tick(WallMicros());
  fleet.peers = state_.DecisionsOfPeers(now);
  UpdateDecisionFreshness(fleet.peers, now);
  if (!fleet_sync_.IsLoaded() || !commands_.IsLoaded()) {
    // The versions that run, or earlier decisions, are not known yet.
    state_.rollouts.OnDecisionsUnknown(now);
    return;
  }
  const auto proposed_steps = state_.rollouts.Evaluate(fleet, now);
  rollout_writer_.Tick(proposed_steps, CountHostsAhead(now), now);
}

void Gateway::HandleReadiness(const HttpExchangePtr& exchange) {
  exchange->Respond(
      IsReady() ? TextResponse(http_status::kOk, "ready\n")
                : TextResponse(http_status::kUnavailable, "not ready\n"));
}

void Gateway::HandleLocate(const HttpExchangePtr& exchange) {
  HandleStall(BootClock::now());
  const std::string& target = exchange->request().target;
  const std::string own = state_.client_regions.RegionOf(exchange->caller_ip())
                              .value_or(state_.settings.region);
  const auto hosts =
      state_.locate.Find({QueryValue(target, "region").value_or(own),
                          QueryValue(target, "failure_domain").value_or(""),
                          exchange->caller_ip()},
                         kMaxLocatedHosts, BootClock::now());
  const double ttl =
      std::chrono::duration<double>(state_.settings.bounds.locate_ttl).count();
  const nlohmann::json answer{{"hosts", hosts}, {"ttl_seconds", ttl}};
  exchange->Respond(JsonResponse(
      http_status::kOk,
      answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)));
}

void Gateway::HandleMetrics(const HttpExchangePtr& exchange) {
  MetricsInputs inputs;
  inputs.versions = Versions();
  for (const SourceTopic topic :
       {SourceTopic::kOrders, SourceTopic::kUpstreams}) {
    inputs.feeds[topic] = {
        fleet_sync_.LastReceivedAt(topic), fleet_sync_.StoreAnsweredAt(topic),
        fleet_sync_.FleetAnsweredAt(topic), fleet_sync_.WatchRestarts(topic)};
  }
  inputs.store_calls = process_stats_.store_calls;
  if (process_stats_.dropped_log_lines) {
    inputs.dropped_log_lines = process_stats_.dropped_log_lines();
  }
  exchange->Respond(TextResponse(
      http_status::kOk, RenderMetrics(state_, inputs, BootClock::now())));
}

// Returns zero if another host has the missing configuration version, as that
// host can serve the request at once. Otherwise no host has the version, for
// example at the start of a fleet or after a partition, and the store must
// answer first. The time of that answer is unknown, so the retry is delayed for
// as long as a retry is still useful to the caller. A caller without a deadline
// queries the entry hosts again after the lifetime of the locate answer.
Duration Gateway::RetryDelayWithoutConfig(const HttpExchange& exchange) const {
  const std::uint64_t missing =
      fleet_sync_.IsLoaded() ? state_.routes.version() : 0;
  if (state_.hosts.OtherHasConfig(missing + 1, BootClock::now())) {
    return Duration::zero();
  }
  const Duration left = CallerTimeout(state_.headers, exchange.request())
                            .value_or(state_.settings.bounds.locate_ttl);
  return LatestRetryDelay(left, Duration::zero());
}

// After a long turn of the loop, requests and changes of the upstream list lie
// ready side by side. The changes are read first: a request that went by the
// old list could reach an upstream that has left.
void Gateway::HandleWhenCaughtUp(const HttpExchangePtr& exchange,
                                 ExchangeStep step) {
  if (!state_.IsLoopLate(BootClock::now())) {
    HandleContained(exchange, step);
    return;
  }
  RunAfterPasses(state_.loop, kCatchUpPasses,
                 [this, exchange, step] { HandleContained(exchange, step); });
}

// A RequestHandler contains its own exceptions, so one that arrives here was
// thrown before anything was sent.
void Gateway::HandleContained(const HttpExchangePtr& exchange,
                              ExchangeStep step) {
  constexpr const char* kReason = "internal_error";
  const std::string id =
      FindHeader(exchange->request().headers, state_.headers.request_id)
          .value_or(exchange->caller_ip());
  if (state_.failures.Run(EntryPoint::kRequest, id,
                          [&] { (this->*step)(exchange); })) {
    return;
  }
  state_.metrics.OnRefused(kReason);
  exchange->Respond(NotRunResponse(kReason, Duration::zero()));
}

void Gateway::HandleCaller(const HttpExchangePtr& exchange) {
  const LoopTurnTimer turn(state_.loop_turns, LoopTask::kRequest);
  HandleStall(BootClock::now());
  if (!fleet_sync_.IsLoaded()) {
    exchange->Respond(
        NotRunResponse(kNoConfig, RetryDelayWithoutConfig(*exchange)));
    return;
  }
  if (IsTooFarBehind()) {
    exchange->Respond(
        NotRunResponse(kConfigBehind, RetryDelayWithoutConfig(*exchange)));
    return;
  }
  const HttpRequest& request = exchange->request();
  const auto host = FindHeader(request.headers, "Host").value_or("");
  auto route = state_.routes.Find(host, request.target);
  if (!route) {
    // If this host lacks a newer configuration version, that version may
    // contain the route, and the status 404 could be wrong.
    exchange->Respond(
        fleet_sync_.config_lag().IsBehind(BootClock::now())
            ? NotRunResponse(kConfigBehind, RetryDelayWithoutConfig(*exchange))
            : TextResponse(http_status::kNotFound, "no such route\n"));
    return;
  }
  CallerIdentity caller;
  if (RequiresKeys()) {
    caller = IdentifyCaller(request.headers, state_.accounts,
                            state_.account_key_hasher);
    if (!caller.account && route->needs_account_key) {
      RefuseApiKey(exchange, *route, caller.fault);
      return;
    }
  }
  std::make_shared<RequestHandler>(state_, exchange, std::move(route),
                                   std::move(caller.account))
      ->Start();
}

// A deployment that states a bound on revocation has client accounts. There a
// configuration without accounts has revoked all keys. Without this rule, the
// removal of the last account would let every caller in.
bool Gateway::RequiresKeys() const {
  return state_.accounts.RequiresKeys() ||
         state_.settings.bounds.revoke.has_value();
}

// While a newer configuration version is due, a key that this host does not
// list may be valid, so the request is refused as not run instead of with the
// status 401.
void Gateway::RefuseApiKey(const HttpExchangePtr& exchange,
                           const Route& route,
                           ApiKeyFault fault) {
  if (fault == ApiKeyFault::kUnknown &&
      fleet_sync_.config_lag().IsBehind(BootClock::now())) {
    exchange->Respond(
        NotRunResponse(kConfigBehind, RetryDelayWithoutConfig(*exchange)));
    return;
  }
  const HttpRequest& request = exchange->request();
  state_.metrics.OnRefused(ReasonOf(fault));
  RequestTrace trace(state_);
  trace.SetRequest(
      FindHeader(request.headers, state_.headers.request_id).value_or(""));
  trace.NoteApiKeyRefused(*exchange, route, fault);
  trace.Finish(true);
  exchange->Respond(TextResponse(http_status::kUnauthorized,
                                 std::string(ReasonOf(fault)) + "\n"));
}

// Timers stop while the machine is suspended, but the boot clock advances, so
// after a stall all actions that fell due during the stall are due at once.
void Gateway::HandleStall(Time now) {
  state_.hosts.CheckForStall(now);
  const Duration stall_duration = state_.hosts.TakeStallDuration();
  if (stall_duration == Duration::zero()) {
    return;
  }
  state_.events.Record(EventCode::kHostStoodStill, state_.settings.host, "",
                       {MillisecondsField(field::kElapsedMs, stall_duration)});
  stall_ended_at_ = now;
  state_.reach.OnStall(now);
  fleet_sync_.OnStallEnded(now - stall_duration);
}

void Gateway::SetProcessStats(ProcessStats process_stats) {
  process_stats_ = std::move(process_stats);
  if (process_stats_.store_calls == nullptr) {
    return;
  }
  process_stats_.store_calls->on_unreadable =
      [this](const std::string& call, const std::string& reason) {
        state_.events.Record(EventCode::kStoreAnswerUnreadable, call, reason);
      };
}

void Gateway::Reload(const EntrySettings& settings) {
  state_.settings.bounds = settings.bounds;
  fleet_sync_.SetContact(settings.bounds.contact);
  state_.UpdateHostShares(BootClock::now());
  state_.events.Record(EventCode::kSettingsReloaded, state_.settings.host,
                       "bounds updated");
}

}  // namespace pathcleat
