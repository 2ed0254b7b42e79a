// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/lab/load_generator.hpp"

#include <QTimer>
#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "pathcleat/lab/upstream_stand_in.hpp"
#include "pathcleat/net/http_status.hpp"

namespace pathcleat {
namespace {

constexpr std::chrono::milliseconds kLocateTimeout{500};
constexpr std::chrono::milliseconds kRequestTimeout{15'000};
constexpr std::chrono::milliseconds kRepeatAfter{200};
constexpr int kMostTries = 4;

std::pair<std::string, std::uint16_t> Split(const std::string& endpoint) {
  const auto colon = endpoint.rfind(':');
  return {endpoint.substr(0, colon),
          static_cast<std::uint16_t>(std::stoi(endpoint.substr(colon + 1)))};
}

}  // namespace

struct LoadGenerator::Request {
  const LoadKind* kind = nullptr;
  Caller* caller = nullptr;
  Time scheduled;
  std::string id;
  std::string body;
  int tries = 0;
  std::size_t host_turn = 0;
  LoadRecord record;
};

double Quantile(std::vector<double> samples, double share) {
  if (samples.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::ptrdiff_t>(
      share * static_cast<double>(samples.size() - 1));
  std::nth_element(samples.begin(), samples.begin() + rank, samples.end());
  return samples[static_cast<std::size_t>(rank)];
}

LoadGenerator::LoadGenerator(const LoadPlan& plan, QObject* parent)
    : QObject(parent), plan_(plan), random_(plan.seed) {
  for (int i = 0; i < plan.callers; ++i) {
    const auto region =
        static_cast<std::size_t>(i) % plan.caller_prefixes.size();
    callers_.push_back(
        {plan.caller_prefixes[region] + "." + std::to_string(i % 250) + ".1",
         plan.hosts,
         {}});
  }
}

void LoadGenerator::Start(std::function<void()> finished) {
  finished_ = std::move(finished);
  started_ = BootClock::now();
  next_arrival_ = started_;
  ScheduleNext();
}

void LoadGenerator::ScheduleNext() {
  std::exponential_distribution<double> gap(plan_.per_second);
  constexpr double kMicros = 1e6;
  next_arrival_ += Duration(static_cast<Duration::rep>(gap(random_) * kMicros));
  if (next_arrival_ - started_ > plan_.length) {
    all_arrived_ = true;
    if (in_flight_ == 0) {
      finished_();
    }
    return;
  }
  const Duration wait = next_arrival_ - BootClock::now();
  QTimer::singleShot(std::chrono::round<std::chrono::milliseconds>(
                         std::max(wait, Duration::zero())),
                     Qt::PreciseTimer, this, [this] { Arrive(); });
}

void LoadGenerator::Arrive() {
  std::vector<double> weights;
  for (const LoadKind& kind : plan_.kinds) {
    weights.push_back(kind.weight);
  }
  std::discrete_distribution<std::size_t> draw_kind(weights.begin(),
                                                    weights.end());
  std::uniform_int_distribution<std::size_t> draw_caller(0,
                                                         callers_.size() - 1);
  auto request = std::make_shared<Request>();
  request->kind = &plan_.kinds[draw_kind(random_)];
  request->caller = &callers_[draw_caller(random_)];
  request->scheduled = next_arrival_;
  request->id = std::to_string(plan_.seed) + "-" + std::to_string(next_id_++);
  if (request->kind->method != "GET") {
    request->body = "entry " + request->id;
  }
  if (request->kind->keyed) {
    request->record.key = "key-" + request->id;
  }
  ++in_flight_;
  ++counts_[request->kind->name].sent;
  if (plan_.locate_service.empty() ||
      BootClock::now() < request->caller->hosts_until) {
    Send(request);
  } else {
    Locate(request);
  }
  ScheduleNext();
}

HttpClientConnection* LoadGenerator::ConnectionFor(const RequestPtr& request) {
  const auto& hosts = request->caller->hosts;
  const auto [address, port] = Split(hosts[request->host_turn % hosts.size()]);
  auto* connection = new HttpClientConnection(address, port, {}, this);
  connection->BindTo(request->caller->address);
  return connection;
}

void LoadGenerator::Locate(const RequestPtr& request) {
  HttpClientConnection* connection = ConnectionFor(request);
  HttpRequest ask{"GET",
                  "/v1/locate?service=" + plan_.locate_service,
                  {{"Host", "locate"}, {"Connection", "close"}},
                  ""};
  connection->Send(
      ask, kLocateTimeout,
      [this, request, connection](const ClientResult& result) {
        connection->deleteLater();
        const auto answer =
            nlohmann::json::parse(result.response.body, nullptr, false);
        const bool usable = result.outcome == ClientOutcome::kAnswered &&
                            answer.is_object() && !answer["hosts"].empty();
        Caller& caller = *request->caller;
        if (usable) {
          caller.hosts.clear();
          for (const auto& host : answer["hosts"]) {
            caller.hosts.push_back(host["address"].get<std::string>() + ":" +
                                   std::to_string(host["port"].get<int>()));
          }
          caller.hosts_until =
              BootClock::now() +
              std::chrono::milliseconds(answer["ttl_ms"].get<int>());
          request->host_turn = 0;
        } else {
          // The hosts known before are asked in turn.
          ++request->host_turn;
          if (request->host_turn >= caller.hosts.size()) {
            caller.hosts = plan_.hosts;
          }
        }
        Send(request);
      });
}

void LoadGenerator::Send(const RequestPtr& request) {
  ++request->tries;
  // Each try has its own run id, so that "not run" can be checked for each.
  request->record.run_id = request->id + "." + std::to_string(request->tries);
  request->record.told_not_run = false;
  HttpRequest http{request->kind->method,
                   request->kind->path,
                   {{"Host", "caller"},
                    {"Connection", "close"},
                    {"X-Run-Id", request->record.run_id}},
                   request->body};
  if (!request->record.key.empty()) {
    http.headers.push_back({"Idempotency-Key", request->record.key});
  }
  HttpClientConnection* connection = ConnectionFor(request);
  connection->Send(http, kRequestTimeout,
                   [this, request, connection](const ClientResult& result) {
                     connection->deleteLater();
                     OnResult(request, result);
                   });
}

void LoadGenerator::OnResult(const RequestPtr& request,
                             const ClientResult& result) {
  LoadCounts& counts = counts_[request->kind->name];
  const bool may_repeat = request->tries < kMostTries;
  if (result.outcome != ClientOutcome::kAnswered) {
    const bool unsent = result.outcome == ClientOutcome::kNotSent;
    request->record.told_not_run = unsent;
    records_.push_back(request->record);
    ++request->host_turn;
    request->caller->hosts_until = {};
    const bool harmless =
        unsent || request->kind->keyed || request->kind->method == "GET";
    if (harmless && may_repeat) {
      Repeat(request, kRepeatAfter);
      return;
    }
    ++counts.broken;
    Finish(request);
    return;
  }
  const auto outcome =
      FindHeader(result.response.headers, "Pathcleat-Outcome").value_or("");
  request->record.told_not_run = outcome == "not-run";
  records_.push_back(request->record);
  const double latency = ToMilliseconds(BootClock::now() - request->scheduled);
  if (outcome == "not-run") {
    ++counts.not_run;
    counts.refusal_ms.push_back(latency);
  } else if (result.response.status == http_status::kConflict && may_repeat) {
    Repeat(request, kRepeatAfter * 2);
    return;
  } else if (outcome == "answered" &&
             result.response.status == http_status::kOk) {
    // A kept answer names the run that it was the answer to.
    const std::string& text = result.response.body;
    const std::string run =
        text.substr(4, std::max<std::size_t>(text.find(" of "), 4) - 4);
    const bool own = run.substr(0, run.rfind('.')) == request->id;
    const bool whole =
        own && text == ExpectedAnswer(run, request->kind->path, request->body);
    counts.cut += whole ? 0 : 1;
    ++counts.answered;
    counts.latency_ms.push_back(latency);
  } else {
    ++counts.unknown;
  }
  Finish(request);
}

void LoadGenerator::Repeat(const RequestPtr& request,
                           std::chrono::milliseconds wait) {
  QTimer::singleShot(wait, this, [this, request] { Send(request); });
}

void LoadGenerator::Finish(const RequestPtr&) {
  --in_flight_;
  if (all_arrived_ && in_flight_ == 0) {
    finished_();
  }
}

}  // namespace pathcleat
