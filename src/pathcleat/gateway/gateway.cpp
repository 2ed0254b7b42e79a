// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/gateway.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "pathcleat/accounts/caller_identity.hpp"
#include "pathcleat/calls/upstream_protocol.hpp"
#include "pathcleat/core/hash.hpp"
#include "pathcleat/gateway/metrics_page.hpp"
#include "pathcleat/gateway/request_handler.hpp"
#include "pathcleat/gateway/request_trace.hpp"
#include "pathcleat/http/endpoint.hpp"
#include "pathcleat/http/http_status.hpp"
#include "pathcleat/http/query_text.hpp"
#include "pathcleat/routing/retry_scheduler.hpp"

namespace pathcleat {
namespace {

constexpr std::chrono::milliseconds kTickPeriod{250};
constexpr std::size_t kMostLocated = 16;
// A request that is so far past its deadline is ended. Its own timer is late
// where the machine was suspended; answers that came meanwhile are read first.
constexpr Duration kOverdue{300'000};
// The first host has a version within this time of its acknowledgement: a
// watch gathers changes for 0.25 s, and 359 KB take 0.3 s at 10 Mbit/s.
constexpr Duration kFirstHostLag{500'000};

// Reading the rows is tried twice within it. A host that knows no others by
// then goes to the store for all it needs.
constexpr Duration kRowsPatience{3'000'000};

constexpr const char* kNoConfig = "no configuration yet";
constexpr const char* kBehind = "a newer configuration is due";

// Descriptors that are never callers': files and the runtime's own (200 by the
// users' pages), the store, other hosts, readiness, metrics, operators.
constexpr rlim_t kDescriptorsKept = 300;
// Where the limit is smaller than all that; chosen, not measured.
constexpr rlim_t kFewestCallers = 64;

// Each request under way holds a second connection, to its upstream.
std::size_t MostCallers() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return 0;
  }
  const rlim_t left =
      std::max(limit.rlim_cur, kDescriptorsKept) - kDescriptorsKept;
  return std::max(left / 2, kFewestCallers);
}

}  // namespace

Gateway::Gateway(boost::asio::io_context& loop,
                 const EntrySettings& settings,
                 const HeaderNames& headers,
                 TableStore& store,
                 FleetSource& source,
                 RolloutStatusStore& statuses,
                 KeyedHasher& digester)
    : state_(loop, settings, headers, store, digester, WallMicros()),
      digester_(digester),
      secrets_(loop, store, [this] { OnSecrets(); }),
      commands_(store, state_.events, [this] { OnCommands(); }),
      rollout_writer_(settings.host, commands_, statuses, state_.events),
      peers_(
          loop,
          state_.hosts,
          state_.events,
          state_.peer_traffic,
          {state_.quotas.control(), state_.rollouts, state_.crashes,
           state_.upstream_limits},
          [this] { return Versions(); },
          [this](const std::string& from, const HostVersions& versions) {
            commands_.OnPeerVersion(versions.commands);
            view_.OnPeerVersions(from, versions);
          }),
      view_(
          state_,
          source,
          [this](const RoutingConfig& config) {
            callers_.SetLimits(config.caller_limits);
          },
          [this] { peers_.PublishHeartbeat(); }),
      rows_(
          loop,
          store,
          state_.hosts,
          [this](const TableRow& row) { OnRow(row); },
          [this] { OnRowsRead(); }),
      callers_(loop, [this](const HttpExchangePtr& e) { HandleCaller(e); }),
      readiness_(loop,
                 [this](const HttpExchangePtr& e) { HandleReadiness(e); }),
      locate_(loop, [this](const HttpExchangePtr& e) { HandleLocate(e); }),
      operator_service_(state_, commands_, secrets_),
      operators_(
          loop,
          [this](const HttpExchangePtr& e) { operator_service_.Handle(e); }),
      metrics_(loop, [this](const HttpExchangePtr& e) { HandleMetrics(e); }),
      tick_timer_(loop),
      stop_timer_(loop) {
  state_.crashes.SetOnUpdate([this] { peers_.PublishCrashes(); });
  state_.upstream_limits.SetOnUpdate([this] { peers_.PublishLimits(); });
}

Result<void> Gateway::ListenAt(HttpServer& server, const std::string& address) {
  if (address.empty()) {
    return {};
  }
  const auto endpoint = ParseTcpEndpoint(address);
  if (!endpoint) {
    return Fail({ErrorCode::kInvalid, "listen", address,
                 "expected an IP number and a port"});
  }
  BOOST_LEAF_CHECK(
      server.Listen(endpoint->address().to_string(), endpoint->port()));
  return {};
}

Result<void> Gateway::Start() {
  const EntrySettings& settings = state_.settings;
  callers_.OnRejected([this](int status, const std::string& caller) {
    state_.events.Record(EventCode::kCallerInputRejected, caller,
                         "status " + std::to_string(status));
  });
  callers_.SetMaxConnections(MostCallers());
  BOOST_LEAF_CHECK(ListenAt(callers_, settings.listen.callers));
  BOOST_LEAF_CHECK(ListenAt(readiness_, settings.listen.readiness));
  BOOST_LEAF_CHECK(ListenAt(locate_, settings.listen.locate));
  BOOST_LEAF_CHECK(ListenAt(operators_, settings.listen.operators));
  BOOST_LEAF_CHECK(ListenAt(metrics_, settings.listen.metrics));
  BOOST_LEAF_CHECK(peers_.Open(settings.peer_address, settings.peer_port));
  BOOST_LEAF_CHECK(view_.Open(settings.peer_address, settings.peer_port));
  rows_.Start();
  Tick();
  state_.events.Record(EventCode::kHostStarted, settings.host,
                       "callers at " + settings.listen.callers);
  return {};
}

bool Gateway::IsReady() const {
  return !state_.leaving && view_.IsLoaded() && !IsTooFarBehind() &&
         callers_.CanAccept();
}

// Past the bound a request must not be handled as only an older version would.
bool Gateway::IsTooFarBehind() const {
  const Duration bound = state_.settings.bounds.config_apply - kFirstHostLag;
  return view_.config_lag().LagDuration(BootClock::now()) >
         std::max(kFirstHostLag, bound);
}

HostVersions Gateway::Versions() const {
  HostVersions versions = view_.Versions();
  versions.commands = commands_.version();
  return versions;
}

void Gateway::OnRow(const TableRow& row) {
  if (!secrets_.HandleRow(row)) {
    commands_.HandleRow(row);
  }
}

void Gateway::OnRowsRead() {
  secrets_.OnRowsRead();
  commands_.OnRowsRead();
  peers_.Announce();
  view_.Start();
}

void Gateway::OnSecrets() {
  peers_.SetKey(secrets_.peer_key());
  view_.SetKey(secrets_.peer_key());
  digester_.SetSecret(secrets_.peer_key());
  state_.request_hasher.SetSecret(secrets_.peer_key());
  peers_.Announce();
}

void Gateway::OnCommands() {
  const ConfigState& state = commands_.state();
  state_.upstreams.SetOperatorDrains(state.drained_upstreams,
                                     state.drained_regions);
  state_.picker.shifts().Sync(state, BootClock::now());
  state_.client_regions.Assign(state.blocks);
  state_.rollouts.SetStates(state.rollouts);
  state_.RefreshRollouts();
  peers_.PublishHeartbeat();
}

void Gateway::AdvanceShifts(Time now) {
  constexpr Duration kPeriod{1'000'000};
  if (now - shifts_advanced_ < kPeriod) {
    return;
  }
  shifts_advanced_ = now;
  state_.picker.shifts().Advance(
      [this, now](const std::string& service, const std::string& region) {
        return state_.picker.TargetStateOf(service, region, now);
      },
      [this](const ShiftStatus& shift) {
        const bool moves = shift.last_decision == RampDecision::kAdvanced ||
                           shift.last_decision == RampDecision::kAtCap;
        state_.events.Record(
            moves ? EventCode::kShiftStep : EventCode::kShiftHeld,
            shift.plan.service,
            std::string(ToString(shift.last_decision)) + ", at " +
                std::to_string(shift.current_share) + " of cap " +
                std::to_string(shift.plan.cap));
      },
      now);
}

// All hosts judge by the same tallies; a hash of the name tells who acts first.
int Gateway::HostsAhead(Time now) const {
  const std::uint64_t own = StableHash(state_.settings.host);
  int ahead = 0;
  for (const KnownHost* host : state_.hosts.Others()) {
    const bool acts = state_.hosts.IsAlive(*host, now) && !host->info.leaving;
    ahead += acts && StableHash(host->info.name) < own ? 1 : 0;
  }
  return ahead;
}

void Gateway::AdvanceRollouts(Time now) {
  if (state_.rollouts.All().empty() && commands_.state().rollouts.empty()) {
    return;
  }
  state_.RefreshRollouts();
  const RolloutContext fleet{state_.hosts.LimitSharerCount(now),
                             state_.events.clock().Tick(WallMicros())};
  const auto due = state_.rollouts.Evaluate(fleet, now);
  rollout_writer_.Tick(due, HostsAhead(now), now);
}

void Gateway::HandleReadiness(const HttpExchangePtr& exchange) {
  exchange->Respond(
      IsReady() ? TextResponse(http_status::kOk, "ready\n")
                : TextResponse(http_status::kUnavailable, "not ready\n"));
}

void Gateway::HandleLocate(const HttpExchangePtr& exchange) {
  NoteAwake(BootClock::now());
  const std::string& target = exchange->request().target;
  const std::string own = state_.client_regions.RegionOf(exchange->caller_ip())
                              .value_or(state_.settings.region);
  const auto hosts =
      state_.hosts.Locate(QueryValue(target, "region").value_or(own),
                          QueryValue(target, "failure_domain").value_or(""),
                          kMostLocated, BootClock::now());
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
    inputs.feeds_received_at[topic] = view_.LastReceivedAt(topic);
  }
  inputs.store_calls = probes_.store_calls;
  if (probes_.dropped_log_lines) {
    inputs.dropped_log_lines = probes_.dropped_log_lines();
  }
  exchange->Respond(TextResponse(
      http_status::kOk, RenderMetrics(state_, inputs, BootClock::now())));
}

// Another host can serve at once, if it has what is missing here: all hosts of
// a fleet may lack it, at its start or after a partition. Then the store is
// waited for: when it answers is not known, so the later the better. A caller
// that names no deadline asks anew which hosts to use after the locate answer's
// time.
Duration Gateway::ReturnUnloaded(const HttpExchange& exchange) const {
  const std::uint64_t missing = view_.IsLoaded() ? state_.routes.version() : 0;
  if (state_.hosts.OtherHasConfig(missing + 1, BootClock::now())) {
    return Duration::zero();
  }
  const Duration left = CallerTimeout(state_.headers, exchange.request())
                            .value_or(state_.settings.bounds.locate_ttl);
  return LatestRetry(left, Duration::zero());
}

void Gateway::HandleCaller(const HttpExchangePtr& exchange) {
  NoteAwake(BootClock::now());
  if (!view_.IsLoaded()) {
    exchange->Respond(NotRunResponse(kNoConfig, ReturnUnloaded(*exchange)));
    return;
  }
  if (IsTooFarBehind()) {
    exchange->Respond(NotRunResponse(kBehind, ReturnUnloaded(*exchange)));
    return;
  }
  const HttpRequest& request = exchange->request();
  const auto host = FindHeader(request.headers, "Host").value_or("");
  auto route = state_.routes.Find(host, request.target);
  if (!route) {
    // A newer version may have it: that it is unknown would be a guess.
    exchange->Respond(
        view_.config_lag().IsBehind(BootClock::now())
            ? NotRunResponse(kBehind, ReturnUnloaded(*exchange))
            : TextResponse(http_status::kNotFound, "no such route\n"));
    return;
  }
  CallerIdentity caller;
  if (state_.accounts.RequiresKeys()) {
    caller = IdentifyCaller(request.headers, state_.accounts,
                            state_.account_key_hasher);
    if (!caller.account && route->needs_account_key) {
      RefuseKey(exchange, *route, caller.fault);
      return;
    }
  }
  std::make_shared<RequestHandler>(state_, exchange, std::move(route),
                                   std::move(caller.account))
      ->Start();
}

// A newer version may have the key: that nobody holds it would be a guess.
void Gateway::RefuseKey(const HttpExchangePtr& exchange,
                        const Route& route,
                        ApiKeyFault fault) {
  if (fault == ApiKeyFault::kUnknown &&
      view_.config_lag().IsBehind(BootClock::now())) {
    exchange->Respond(NotRunResponse(kBehind, ReturnUnloaded(*exchange)));
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

// Timers stand still while the machine is suspended, and the clock runs on:
// what was to happen meanwhile is due now.
void Gateway::NoteAwake(Time now) {
  state_.hosts.CheckForStall(now);
  const Duration still = state_.hosts.TakeStallDuration();
  if (still == Duration::zero()) {
    return;
  }
  state_.events.Record(EventCode::kHostStoodStill, state_.settings.host, "",
                       {MillisecondsField(field::kElapsedMs, still)});
  awake_since_ = now;
  view_.OnStallEnded(now - still);
}

void Gateway::Tick() {
  const Time now = BootClock::now();
  NoteAwake(now);
  if (now - awake_since_ >= kOverdue) {
    state_.in_flight_requests.EndOverdue(now - kOverdue);
  }
  if (now - state_.started_at > kRowsPatience) {
    view_.Start();
  }
  AdvanceShifts(now);
  AdvanceRollouts(now);
  for (const std::string& host : state_.hosts.NewlySilent(now)) {
    if (state_.hosts.IsLeaving(host)) {
      state_.quotas.control().OnHostStopped(host);
    }
    state_.events.Record(EventCode::kPeerSilent, host,
                         "no heartbeats; callers are not sent there");
  }
  view_.Tick(now);
  state_.UpdateHostShares(now);
  if (state_.quotas.control().HasUpdates()) {
    peers_.PublishUsage();
  }
  state_.TickCrashes(now);
  state_.connection_pool.CloseIdle(now);
  tick_timer_.expires_after(kTickPeriod);
  tick_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      Tick();
    }
  });
}

void Gateway::Reload(const EntrySettings& settings) {
  state_.settings.bounds = settings.bounds;
  state_.UpdateHostShares(BootClock::now());
  state_.events.Record(EventCode::kSettingsReloaded, state_.settings.host,
                       "bounds taken over");
}

}  // namespace pathcleat
