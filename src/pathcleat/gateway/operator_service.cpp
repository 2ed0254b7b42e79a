// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/operator_service.hpp"

#include <cmath>
#include <iomanip>
#include <sstream>
#include <type_traits>
#include <utility>

#include "pathcleat/core/hash.hpp"
#include "pathcleat/core/mac.hpp"
#include "pathcleat/fleet/load_step_control.hpp"
#include "pathcleat/http/http_status.hpp"

namespace pathcleat {
namespace {

constexpr const char* kBearerPrefix = "Bearer ";
constexpr std::size_t kMaxLocatedHosts = 8;

int StatusOf(const Error& error) {
  switch (error.code) {
    case ErrorCode::kInvalid:
      return http_status::kBadRequest;
    case ErrorCode::kConflict:
      return http_status::kConflict;
    default:
      return http_status::kUnavailable;
  }
}

std::string Percent(double share) {
  constexpr double kPercentPerUnit = 100;
  std::ostringstream text;
  text << std::fixed << std::setprecision(1) << share * kPercentPerUnit << "%";
  return text.str();
}

std::string AgeText(Time observed, Time now) {
  return std::to_string(static_cast<int>(ToMilliseconds(now - observed))) +
         " ms ago";
}

}  // namespace

OperatorService::OperatorService(GatewayState& state,
                                 CommandLog& commands,
                                 const FleetSecrets& secrets)
    : state_(state), commands_(commands), secrets_(secrets) {}

void OperatorService::Handle(const HttpExchangePtr& exchange) {
  const HttpRequest& request = exchange->request();
  if (!IsOperator(request)) {
    state_.events.Record(EventCode::kOperatorRejected, exchange->caller_ip(),
                         "wrong or missing token");
    exchange->Respond(
        TextResponse(http_status::kUnauthorized, "wrong or missing token\n"));
    return;
  }
  if (request.method == "POST" && request.target == "/v1/query") {
    Query(exchange);
  } else if (request.method == "GET" && request.target == "/v1/timeline") {
    exchange->Respond(TextResponse(http_status::kOk, Timeline()));
  } else {
    exchange->Respond(
        TextResponse(http_status::kNotFound,
                     "expected POST /v1/query or GET /v1/timeline\n"));
  }
}

bool OperatorService::IsOperator(const HttpRequest& request) const {
  const auto header = FindHeader(request.headers, "Authorization");
  return header && !secrets_.operator_token().empty() &&
         AreSecretsEqual(*header, kBearerPrefix + secrets_.operator_token());
}

ValidNames OperatorService::CurrentNames() const {
  ValidNames names;
  if (state_.routes.IsLoaded()) {
    for (const ServiceInfo& service : state_.routes.config().services) {
      names.services.insert(service.name);
    }
  }
  for (const auto& [domain, region] : state_.settings.region_of_domain) {
    names.regions.insert(region);
  }
  for (const UpstreamPtr& upstream : state_.upstreams.All()) {
    names.upstreams.insert(upstream->info.id);
  }
  return names;
}

void OperatorService::Query(const HttpExchangePtr& exchange) {
  TryOr(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(command,
                        ParseCommand(CurrentNames(), exchange->request().body));
        if (const auto* change = std::get_if<ChangeCommand>(&command)) {
          BOOST_LEAF_AUTO(operation, BindToOrder(change->operation));
          Submit(exchange, operation);
          return {};
        }
        std::visit(
            [&](const auto& query) {
              using Query = std::decay_t<decltype(query)>;
              if constexpr (!std::is_same_v<Query, ChangeCommand>) {
                exchange->Respond(
                    TextResponse(http_status::kOk, Answer(query)));
              }
            },
            command);
        return {};
      },
      [&](const Error& error) {
        exchange->Respond(TextResponse(StatusOf(error), error.detail + "\n"));
      });
}

std::string OperatorService::NextCommandId() {
  return state_.settings.host + "-" +
         std::to_string(state_.hosts.self().incarnation) + "-" +
         std::to_string(next_command_number_++);
}

void OperatorService::Submit(const HttpExchangePtr& exchange,
                             const ConfigOperation& operation) {
  commands_.Submit(
      operation, NextCommandId(), [exchange](const CommandResult& result) {
        if (result.accepted) {
          exchange->Respond(TextResponse(
              http_status::kOk, "accepted as configuration version " +
                                    std::to_string(result.version) + "\n"));
        } else {
          exchange->Respond(
              TextResponse(StatusOf(result.error),
                           "not accepted: " + ToString(result.error) + "\n"));
        }
      });
}

std::string OperatorService::Answer(const HelpQuery&) const {
  return std::string(CommandHelp());
}

std::string OperatorService::Answer(const WhereQuery& query) {
  const Time now = BootClock::now();
  const std::string region = state_.client_regions.RegionOf(query.caller)
                                 .value_or(state_.settings.region);
  std::ostringstream text;
  text << "entry hosts for " << query.caller << ":";
  for (const std::string& address :
       state_.locate.Find({region, "", query.caller}, kMaxLocatedHosts, now)) {
    text << " " << address;
  }
  text << "\n"
       << query.service << " from " << state_.settings.host
       << ", upstreams best first:\n";
  const Route route;
  PickRequest request;
  request.route = &route;
  request.service = query.service;
  request.key = StableHash(query.caller);
  for (const Pick& pick : state_.picker.Explain(request, now)) {
    const UpstreamState& upstream = *pick.upstream;
    text << "  " << upstream.info.id << " in " << upstream.info.domain << ": "
         << upstream.load.ExpectedRequests(now) << " of " << upstream.info.slots
         << " slots in use, expected " << ToMilliseconds(pick.expected_latency)
         << " ms, of it waiting " << ToMilliseconds(pick.expected_wait)
         << " ms\n";
  }
  return text.str();
}

std::string OperatorService::Answer(const WhyQuery& query) const {
  const auto events = state_.traces.Find(query.request_id);
  if (!events) {
    return "request " + query.request_id +
           " is not known at this host: it was taken by another one, or is "
           "older than the newest requests\n";
  }
  constexpr std::uint64_t kMicrosPerMillisecond = 1'000;
  std::string text;
  for (const Event& event : *events) {
    const std::uint64_t since = event.time.micros - events->front().time.micros;
    text += "+" + std::to_string(since / kMicrosPerMillisecond) + " ms " +
            ToText(event) + "\n";
  }
  return text;
}

std::string OperatorService::Answer(const ShowQuery& query) const {
  switch (query.topic) {
    case ShowTopic::kHosts:
      return ShowHosts();
    case ShowTopic::kUpstreams:
      return ShowUpstreams();
    case ShowTopic::kShifts:
      return ShowShifts();
    case ShowTopic::kConfig:
      return ShowConfig();
    case ShowTopic::kMetrics:
      return state_.metrics.ToText();
    case ShowTopic::kAccounts:
      return ShowAccounts();
    case ShowTopic::kRollouts:
      return ShowRollouts();
  }
  return "";
}

// Utilization is known of hosts of the own failure domain only, as reports of
// other domains carry just the load step.
std::string OperatorService::LoadText(const HostInfo& host) {
  if (!host.capacity.IsStated()) {
    return "";
  }
  std::ostringstream text;
  text << ", " << host.capacity.cpu_cores << " cores, " << host.link_mbps
       << " Mbit/s";
  if (host.utilization > 0) {
    constexpr double kPercent = 100;
    text << ", " << std::lround(host.utilization * kPercent) << "% in use";
  }
  if (host.load_step > 0) {
    text << ", named to " << LoadShare(host.load_step) << " of its callers";
  }
  return text.str();
}

std::string OperatorService::ShowHosts() const {
  const Time now = BootClock::now();
  std::ostringstream text;
  text << state_.settings.host << ": this host"
       << (state_.leaving ? ", leaving" : "") << ", store "
       << (state_.store_reachable ? "reached" : "out of reach")
       << (state_.reach.IsIsolated() ? ", upstreams out of reach" : "") << "\n";
  for (const HostEntry* host : state_.hosts.Others()) {
    text << host->info.name << ": in " << host->info.domain << ", "
         << (state_.hosts.IsAlive(*host, now) ? "alive" : "silent")
         << (host->info.leaving ? ", leaving" : "")
         << (host->info.isolated ? ", upstreams out of reach" : "")
         << LoadText(host->info);
    if (host->has_heartbeat) {
      text << ", heard " << AgeText(host->last_seen, now)
           << ", routes at version " << host->versions.config
           << ", commands at " << host->versions.commands;
    }
    text << "\n";
  }
  return text.str();
}

std::string OperatorService::RateLimitText(const UpstreamState& upstream,
                                           Time now) {
  if (!upstream.limit.IsInForce(now)) {
    return "";
  }
  const LimitObservation& observation = *upstream.limit.observation();
  std::ostringstream text;
  text << ", takes " << upstream.limit.PerSecond(now)
       << " requests a second from all hosts, "
       << upstream.rate_share.rate_per_second() << " from here (told "
       << observation.host << " " << AgeText(observation.observed_at, now)
       << "), " << upstream.passed_over << " passed over here";
  return text.str();
}

std::string OperatorService::StatementText(const UpstreamState& upstream,
                                           Time now) {
  std::string text;
  if (upstream.announced_leaving) {
    text += ", says that it leaves";
  }
  if (upstream.backoff.IsInForce(now)) {
    text += ", wants nothing from here for " +
            std::to_string(static_cast<int>(
                ToMilliseconds(upstream.backoff.until() - now))) +
            " ms";
  } else if (upstream.backoff.IsRecovering(now)) {
    text += ", tried again by one request at a time";
  }
  const bool is_limited = upstream.limit.IsInForce(now);
  if (!is_limited && upstream.passed_over > 0) {
    text += ", " + std::to_string(upstream.passed_over) + " passed over here";
  }
  return text;
}

std::string OperatorService::ShowUpstreams() const {
  const Time now = BootClock::now();
  std::ostringstream text;
  text << "as seen from " << state_.settings.host << ":\n";
  for (const UpstreamPtr& upstream : state_.upstreams.All()) {
    text << "  " << upstream->info.id << ": " << upstream->info.service
         << " in " << upstream->info.domain << " at " << upstream->info.address
         << ", " << upstream->load.own_in_flight() << " from here, about "
         << upstream->load.ExpectedRequests(now) << " of "
         << upstream->info.slots << " slots in use"
         << (state_.upstreams.IsOpen(*upstream) ? "" : ", drained or leaving")
         << (upstream->IsCold(now) ? ", cold" : "")
         << RateLimitText(*upstream, now) << StatementText(*upstream, now)
         << (upstream->health.IsSuspect() ? ", does not answer" : "") << "\n";
  }
  return text.str();
}

std::string OperatorService::ShowShifts() const {
  std::ostringstream text;
  for (const ShiftStatus& shift : state_.picker.shifts().All()) {
    text << shift.plan.service << " from " << shift.plan.from_region << " to "
         << shift.plan.to_region << ": at " << Percent(shift.current_share)
         << " of cap " << Percent(shift.plan.cap) << ", moved " << shift.moved
         << " of " << shift.offered << " at this host, "
         << ToString(shift.last_decision) << "\n";
  }
  const std::string shifts = text.str();
  return shifts.empty() ? "no shift away from " + state_.settings.region + "\n"
                        : shifts;
}

std::string OperatorService::ShowConfig() const {
  const Time now = BootClock::now();
  const ConfigState& state = commands_.state();
  std::ostringstream text;
  text << "routes: version " << state_.routes.version() << "\n"
       << "commands: version " << state.version << ", its age "
       << (commands_.IsLoaded() ? "confirmed by the table service"
                                : "unknown: the table service has not "
                                  "answered since the start")
       << "\n";
  int alive = 1;
  int up_to_date = 1;
  std::string behind;
  for (const HostEntry* host : state_.hosts.Others()) {
    if (!state_.hosts.IsAlive(*host, now)) {
      behind += "  unheard: " + host->info.name + "\n";
      continue;
    }
    ++alive;
    const bool current = host->versions.commands >= state.version &&
                         host->versions.config >= state_.routes.version();
    up_to_date += current ? 1 : 0;
    if (!current) {
      behind += "  behind: " + host->info.name + "\n";
    }
  }
  text << "in force at " << up_to_date << " of " << alive << " hosts heard\n"
       << behind;
  for (const std::string& upstream : state.drained_upstreams) {
    text << "drained: upstream " << upstream << "\n";
  }
  for (const std::string& region : state.drained_regions) {
    text << "drained: region " << region << "\n";
  }
  for (const std::string& domain : state_.upstreams.drained_domains()) {
    text << "drained: failure domain " << domain << "\n";
  }
  for (const auto& [key, plan] : state.shifts) {
    text << "shift: " << plan.service << " from " << plan.from_region << " to "
         << plan.to_region << " cap " << Percent(plan.cap) << "\n";
  }
  text << "client blocks changed: " << state_.client_regions.assigned_count()
       << "\n";
  return text.str();
}

std::string OperatorService::Timeline() const {
  std::string text;
  for (const Event& event : state_.events.Snapshot()) {
    text += ToJsonLine(event) + "\n";
  }
  return text;
}

}  // namespace pathcleat
