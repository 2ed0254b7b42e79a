// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/host/operator_service.hpp"

#include <QCryptographicHash>
#include <algorithm>
#include <iomanip>
#include <sstream>

#include "pathcleat/host/locate.hpp"
#include "pathcleat/net/http_status.hpp"

namespace pathcleat {
namespace {

constexpr const char* kBearer = "Bearer ";

QByteArray Digest(const std::string& text) {
  return QCryptographicHash::hash(QByteArray::fromStdString(text),
                                  QCryptographicHash::Sha256);
}

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
  constexpr double kWhole = 100;
  std::ostringstream text;
  text << std::fixed << std::setprecision(1) << share * kWhole << "%";
  return text.str();
}

std::string Age(Time observed, Time now) {
  return std::to_string(static_cast<int>(ToMilliseconds(now - observed))) +
         " ms ago";
}

}  // namespace

OperatorService::OperatorService(Shared& shared,
                                 SeatKeeper& seats,
                                 ConfigKeeper& config,
                                 QObject* parent)
    : QObject(parent), shared_(shared), seats_(seats), config_(config) {}

void OperatorService::Handle(const HttpExchangePtr& exchange) {
  const HttpRequest& request = exchange->request();
  if (!IsOperator(request)) {
    shared_.events.Record(EventCode::kOperatorRejected, exchange->caller(),
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

// Digests are compared, so that the time taken tells nothing of the token.
bool OperatorService::IsOperator(const HttpRequest& request) const {
  const auto header = FindHeader(request.headers, "Authorization");
  return header &&
         Digest(*header) == Digest(kBearer + shared_.settings.operator_token);
}

void OperatorService::Query(const HttpExchangePtr& exchange) {
  TryOr(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(command, ParseCommand(shared_.settings.deployment,
                                              exchange->request().body));
        std::visit(
            [&](const auto& query) {
              using Query = std::decay_t<decltype(query)>;
              if constexpr (std::is_same_v<Query, ChangeCommand>) {
                Submit(exchange, query);
              } else {
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
  return shared_.settings.self().name + "-" +
         std::to_string(shared_.incarnation) + "-" +
         std::to_string(next_command_++);
}

void OperatorService::Submit(const HttpExchangePtr& exchange,
                             const ChangeCommand& command) {
  config_.Submit(
      command.operation, NextCommandId(),
      [exchange](const CommandResult& result) {
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

std::string OperatorService::Answer(const WhereQuery& query) const {
  const Deployment& deployment = shared_.settings.deployment;
  const Time now = BootClock::now();
  std::ostringstream text;
  text << "entry hosts for " << query.caller << ":";
  for (const LocatedHost& host : Locate(shared_, query.caller)) {
    text << " " << deployment.At(host.seat).name;
  }
  text << "\n"
       << deployment.At(query.service).name << " from "
       << shared_.settings.self().name
       << ", failure domains by expected time:\n";
  auto candidates = shared_.routes.DomainCandidates(query.service);
  std::sort(candidates.begin(), candidates.end(),
            [now](const RouteCandidate& a, const RouteCandidate& b) {
              return a.network * 2 + ExpectedWait(a.view, now) <
                     b.network * 2 + ExpectedWait(b.view, now);
            });
  for (const RouteCandidate& candidate : candidates) {
    const DomainIndex domain{static_cast<std::uint16_t>(candidate.target)};
    const PoolLoad& load = candidate.view.load;
    text << "  " << deployment.At(domain).name << ": network "
         << ToMilliseconds(candidate.network) << " ms one way, wait "
         << ToMilliseconds(ExpectedWait(candidate.view, now)) << " ms, free "
         << load.free << " of " << load.slots << " slots, waiting "
         << load.waiting << ", reported " << Age(candidate.view.observed, now)
         << "\n";
  }
  return text.str();
}

std::string OperatorService::Answer(const WhyQuery& query) const {
  const auto steps = shared_.traces.Find(query.id);
  if (!steps) {
    return "request " + ToString(query.id) +
           " is not known at this host: it was taken by another one, or is "
           "older than the newest 2,048\n";
  }
  std::string text;
  for (const std::string& step : *steps) {
    text += step + "\n";
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
      return shared_.metrics.ToText();
  }
  return "";
}

std::string OperatorService::ShowHosts() const {
  const Deployment& deployment = shared_.settings.deployment;
  const Time now = BootClock::now();
  std::ostringstream text;
  text << shared_.settings.self().name << ": this host"
       << (shared_.leaving ? ", leaving" : "") << ", platform "
       << (shared_.platform_up ? "reached" : "out of reach") << ", seat "
       << seats_.DescribeSeat(shared_.settings.seat) << "\n";
  for (const SiblingState& sibling : shared_.members.Siblings(now)) {
    text << deployment.At(sibling.seat).name << ": sibling, "
         << (sibling.alive ? "alive" : "silent")
         << (sibling.leaving ? ", leaving" : "") << ", seat "
         << seats_.DescribeSeat(sibling.seat) << "\n";
  }
  for (const DomainState& state : shared_.members.Domains()) {
    const DomainSummary& summary = state.summary;
    text << deployment.At(summary.domain).name << ": " << summary.hosts_heard
         << " hosts heard, as of " << Age(state.observed, now);
    for (const SeatIndex seat : summary.silent) {
      text << ", " << deployment.At(seat).name << " silent";
    }
    text << "\n";
  }
  return text.str();
}

std::string OperatorService::ShowUpstreams() const {
  const Deployment& deployment = shared_.settings.deployment;
  std::ostringstream text;
  text << "filled from " << shared_.settings.self().name << ":\n";
  for (const OwnedUpstream& owned : shared_.owner.Owned()) {
    const Upstream& upstream = deployment.At(owned.upstream);
    text << "  " << upstream.name << ": " << owned.in_flight << " of "
         << upstream.slots << " slots in use"
         << (owned.leaving ? ", leaving" : "")
         << (owned.healthy ? "" : ", does not answer") << "\n";
  }
  return text.str();
}

std::string OperatorService::ShowShifts() const {
  const Deployment& deployment = shared_.settings.deployment;
  std::ostringstream text;
  for (const ShiftStatus& shift : shared_.routes.Shifts()) {
    text << deployment.At(shift.plan.service).name << " from "
         << deployment.At(shift.plan.from).name << " to "
         << deployment.At(shift.plan.to).name << ": at "
         << Percent(shift.fraction) << " of cap " << Percent(shift.plan.cap)
         << ", moved " << shift.moved << " of " << shift.offered
         << " at this host, " << ToString(shift.step) << "\n";
  }
  return text.str().empty() ? "no shift\n" : text.str();
}

std::string OperatorService::ShowConfig() const {
  const Deployment& deployment = shared_.settings.deployment;
  const auto state = shared_.config.state();
  const Time now = BootClock::now();
  std::ostringstream text;
  text << "version " << state->version << " in force here, its age "
       << (config_.IsAgeKnown() ? "confirmed by the table service"
                                : "unknown: the table service has not "
                                  "answered since the start")
       << "\n";
  int in_force = 1;
  int heard = 1;
  std::string behind;
  for (const SiblingState& sibling : shared_.members.Siblings(now)) {
    if (!sibling.alive) {
      behind += "  unheard: " + deployment.At(sibling.seat).name + "\n";
      continue;
    }
    ++heard;
    in_force += sibling.config_version >= state->version ? 1 : 0;
  }
  for (const DomainState& domain : shared_.members.Domains()) {
    const DomainSummary& summary = domain.summary;
    heard += summary.hosts_heard;
    if (summary.lowest_config_version >= state->version) {
      in_force += summary.hosts_heard;
    } else {
      behind += "  " + deployment.At(summary.domain).name +
                ": a host is at version " +
                std::to_string(summary.lowest_config_version) + ", " +
                Age(domain.observed, now) + "\n";
    }
    for (const SeatIndex seat : summary.silent) {
      behind += "  unheard: " + deployment.At(seat).name + "\n";
    }
  }
  for (const DomainIndex domain : IndicesOf<DomainIndex>(deployment.domains)) {
    if (domain != shared_.settings.self().domain &&
        !shared_.members.Find(domain)) {
      behind += "  unheard: all of " + deployment.At(domain).name + "\n";
    }
  }
  text << "in force at " << in_force << " of " << heard << " hosts heard, of "
       << deployment.seats.size() << " in the settings\n"
       << behind;
  for (const UpstreamIndex upstream : state->drained_upstreams) {
    text << "drained: upstream " << deployment.At(upstream).name << "\n";
  }
  for (const RegionIndex region : state->drained_regions) {
    text << "drained: region " << deployment.At(region).name << "\n";
  }
  for (const auto& [key, plan] : state->shifts) {
    text << "shift: " << deployment.At(plan.service).name << " from "
         << deployment.At(plan.from).name << " to "
         << deployment.At(plan.to).name << " cap " << Percent(plan.cap) << "\n";
  }
  text << "client blocks changed: " << shared_.config.changed_blocks() << "\n";
  return text.str();
}

std::string OperatorService::Timeline() const {
  std::string text;
  for (const Event& event : shared_.events.Snapshot()) {
    text += ToJsonLine(event) + "\n";
  }
  return text;
}

}  // namespace pathcleat
