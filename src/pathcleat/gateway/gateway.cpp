// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/gateway.hpp"

#include <sys/resource.h>

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

constexpr std::chrono::milliseconds kTickInterval{250};
constexpr std::size_t kMaxLocatedHosts = 16;
// After a suspension of the machine, the timer of a request fires too late. So
// a request that is past its deadline by more than this time is ended. Within
// this time, answers that arrived during the suspension are read.
constexpr Duration kOverdueGrace{300'000};
// After a new configuration version is acknowledged, the first host has the
// version within this time: a watch gathers changes for 0.25 s, and a transfer
// of 359 KB takes 0.3 s at 10 Mbit/s.
constexpr Duration kFirstHostLag{500'000};

// Time for two attempts at reading the rows of the other hosts. A host that has
// found no other hosts after this time reads all that it needs from the store.
constexpr Duration kRowReadTimeout{3'000'000};

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

// Processor time of this process so far.
Duration ProcessorTime() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto sum = [](const timeval& user, const timeval& system) {
    return std::chrono::seconds(user.tv_sec + system.tv_sec) +
           std::chrono::microseconds(user.tv_usec + system.tv_usec);
  };
  return sum(usage.ru_utime, usage.ru_stime);
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
                       RunWhenCaughtUp([this, e] { HandleCaller(e); });
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
      cpu_utilization_(settings.cpu_cores),
      tick_timer_(loop),
      stop_timer_(loop) {
  fleet_sync_.SetForwardHandler([this](const HttpExchangePtr& e) {
    RunWhenCaughtUp([this, e] { HandleForwarded(e); });
  });
  state_.reach.SetOnChange([this] { OnReachChange(); });
  state_.crashes.SetOnUpdate([this] { peer_link_.PublishCrashes(); });
  state_.upstream_statements.SetOnUpdate(
      [this] { peer_link_.PublishStatements(); });
}

Result<void> Gateway::Start() {
  const EntrySettings& settings = state_.settings;
  LimitServers();
  BOOST_LEAF_CHECK(ListenAt(caller_server_, settings.listen.callers));
  BOOST_LEAF_CHECK(ListenAt(readiness_server_, settings.listen.readiness));
  BOOST_LEAF_CHECK(ListenAt(locate_server_, settings.listen.locate));
  BOOST_LEAF_CHECK(ListenAt(operator_server_, settings.listen.operators));
  BOOST_LEAF_CHECK(ListenAt(metrics_server_, settings.listen.metrics));
  BOOST_LEAF_CHECK(peer_link_.Open(settings.peer_address, settings.peer_port));
  BOOST_LEAF_CHECK(fleet_sync_.Open(settings.peer_address, settings.peer_port));
  startup_loader_.Start();
  Tick();
  state_.events.Record(EventCode::kHostStarted, settings.host,
                       "callers at " + settings.listen.callers);
  return {};
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
  exchange->Respond(JsonResponse(
      http_status::kOk,
      nlohmann::json{{"hosts", hosts}, {"ttl_seconds", ttl}}.dump()));
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
void Gateway::RunWhenCaughtUp(std::function<void()> step) {
  if (!state_.IsLoopLate(BootClock::now())) {
    step();
    return;
  }
  RunAfterPasses(state_.loop, kCatchUpPasses, std::move(step));
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

// Measures how much of the host's capacity is in use, if its settings state the
// processor cores and hosts differ in capacity. Links are not measured.
void Gateway::UpdateLoad(Time now) {
  if (state_.settings.cpu_cores <= 0 || !state_.hosts.HasUnlikeHosts()) {
    return;
  }
  double utilization = cpu_utilization_.Update(ProcessorTime(), now);
  if (max_caller_connections_ > 0) {
    utilization = std::max(
        utilization, static_cast<double>(caller_server_.connection_count()) /
                         static_cast<double>(max_caller_connections_));
  }
  state_.hosts.SetLoad(utilization, load_steps_.Update(utilization, now));
}

void Gateway::Tick() {
  const LoopTurnTimer turn(state_.loop_turns, LoopTask::kTick);
  const Time now = BootClock::now();
  HandleStall(now);
  UpdateLoad(now);
  if (now - stall_ended_at_ >= kOverdueGrace) {
    state_.in_flight_requests.EndOverdue(now - kOverdueGrace);
  }
  if (now - state_.started_at > kRowReadTimeout) {
    fleet_sync_.Start();
  }
  state_.reach.Tick(
      [this, now] {
        return state_.in_flight_requests.IsAnyUpstreamSilent(now);
      },
      now);
  AdvanceShifts(now);
  AdvanceRollouts(now);
  for (const std::string& host : state_.hosts.TakeTimedOutHosts(now)) {
    if (state_.hosts.IsLeaving(host)) {
      state_.quotas.control().OnHostStopped(host);
    }
    state_.events.Record(EventCode::kPeerSilent, host,
                         "no heartbeats; not listed to callers any more");
  }
  fleet_sync_.Tick(now);
  state_.UpdateHostShares(now);
  if (state_.quotas.control().HasUpdates()) {
    peer_link_.PublishUsage();
  }
  state_.TickCrashes(now);
  state_.memory_monitor.Tick(*state_.memory_budget, now);
  state_.connection_pool.CloseIdle(now);
  state_.forwards.connections.CloseIdle(now);
  state_.tick_due_at = BootClock::now() + kTickInterval;
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      state_.loop_turns.AddDelay(BootClock::now() - state_.tick_due_at);
      Tick();
    }
  });
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
