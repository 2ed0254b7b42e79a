// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/lab/load_generator.hpp"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "pathcleat/http/endpoint.hpp"
#include "pathcleat/http/http_status.hpp"
#include "pathcleat/lab/upstream_stand_in.hpp"

namespace pathcleat {
namespace {

constexpr std::chrono::milliseconds kLocateTimeout{500};
constexpr std::chrono::milliseconds kRequestTimeout{15'000};
constexpr std::chrono::milliseconds kRepeatDelay{200};
constexpr int kMaxTries = 4;

}  // namespace

struct LoadGenerator::Request {
  const LoadKind* kind = nullptr;
  Caller* caller = nullptr;
  Time scheduled;
  std::string id;
  std::string body;
  int object = 0;
  int tries = 0;
  std::size_t host_index = 0;
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

LoadGenerator::LoadGenerator(boost::asio::io_context& loop,
                             const LoadPlan& plan)
    : loop_(loop), plan_(plan), random_(plan.seed) {
  for (int i = 0; i < plan.callers; ++i) {
    const auto region =
        static_cast<std::size_t>(i) % plan.caller_address_prefixes.size();
    callers_.push_back({plan.caller_address_prefixes[region] + "." +
                            std::to_string(i % 250) + ".1",
                        plan.hosts,
                        {},
                        0,
                        i % 2 == 1,
                        {}});
  }
}

void LoadGenerator::Start(std::function<void()> finished) {
  finished_ = std::move(finished);
  started_ = BootClock::now();
  next_arrival_ = started_;
  ScheduleNext();
}

void LoadGenerator::ScheduleAfter(std::chrono::microseconds wait,
                                  std::function<void()> callback) {
  auto timer = std::make_shared<boost::asio::steady_timer>(loop_, wait);
  timer->async_wait([timer, callback = std::move(callback)](
                        const boost::system::error_code& error) {
    if (!error) {
      callback();
    }
  });
}

void LoadGenerator::ScheduleNext() {
  std::exponential_distribution<double> gap(plan_.requests_per_second);
  constexpr double kMicros = 1e6;
  next_arrival_ += Duration(static_cast<Duration::rep>(gap(random_) * kMicros));
  if (next_arrival_ - started_ > plan_.duration) {
    all_arrived_ = true;
    if (in_flight_ == 0) {
      finished_();
    }
    return;
  }
  const Duration wait = next_arrival_ - BootClock::now();
  ScheduleAfter(std::max(wait, Duration::zero()), [this] { Arrive(); });
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
  request->object =
      std::uniform_int_distribution<int>(0, plan_.objects - 1)(random_);
  request->id = std::to_string(plan_.seed) + "-" + std::to_string(next_id_++);
  if (request->kind->method != "GET") {
    request->body = "entry " + request->id;
  }
  if (request->kind->keyed) {
    request->record.key = "key-" + request->id;
  }
  ++in_flight_;
  ++counts_[request->kind->name].sent;
  if (plan_.locators.empty() ||
      BootClock::now() < request->caller->hosts_until) {
    Send(request);
  } else {
    Locate(request);
  }
  ScheduleNext();
}

const std::string& LoadGenerator::HostFor(const RequestPtr& request) const {
  const auto& hosts = request->caller->hosts;
  return hosts[request->host_index % hosts.size()];
}

// A connection serves one request at a time: a kept one is taken out while it
// is in use.
HttpClientPtr LoadGenerator::ConnectionFor(const RequestPtr& request) {
  const std::string& host = HostFor(request);
  auto kept = request->caller->connections.extract(host);
  if (!kept.empty() && kept.mapped()->IsReusable()) {
    return kept.mapped();
  }
  const auto endpoint = ParseTcpEndpoint(host);
  auto client = std::make_shared<HttpClient>(
      loop_, endpoint.value_or(boost::asio::ip::tcp::endpoint()), HttpLimits());
  client->BindLocalAddress(request->caller->address);
  return client;
}

void LoadGenerator::Keep(const RequestPtr& request,
                         const HttpClientPtr& client) {
  if (request->caller->keeps_connections && client->IsReusable()) {
    request->caller->connections[HostFor(request)] = client;
  }
}

HttpClientPtr LoadGenerator::LocatorFor(const RequestPtr& request) {
  const auto& locators = plan_.locators;
  const std::size_t index = request->caller->next_locator++;
  const auto endpoint = ParseTcpEndpoint(locators[index % locators.size()]);
  auto client = std::make_shared<HttpClient>(
      loop_, endpoint.value_or(boost::asio::ip::tcp::endpoint()), HttpLimits());
  client->BindLocalAddress(request->caller->address);
  return client;
}

void LoadGenerator::Locate(const RequestPtr& request) {
  const HttpClientPtr client = LocatorFor(request);
  const HttpRequest query{
      "GET", "/v1/locate", {{"Host", "locate"}, {"Connection", "close"}}, ""};
  client->Send(
      query, {kLocateTimeout, kLocateTimeout},
      [this, request, client](const CallResult& result) {
        const auto answer =
            nlohmann::json::parse(result.response.body.view(), nullptr, false);
        const bool usable = result.outcome == CallOutcome::kAnswered &&
                            answer.is_object() && !answer["hosts"].empty();
        Caller& caller = *request->caller;
        // Without a usable answer, try the next host of the list in use.
        if (usable) {
          caller.hosts = answer["hosts"].get<std::vector<std::string>>();
          caller.hosts_until =
              BootClock::now() + std::chrono::duration_cast<Duration>(
                                     std::chrono::duration<double>(
                                         answer["ttl_seconds"].get<double>()));
          request->host_index = random_() % caller.hosts.size();
        } else {
          ++request->host_index;
        }
        Send(request);
      });
}

void LoadGenerator::Send(const RequestPtr& request) {
  ++request->tries;
  // Each try has its own run id, so that a "not-run" result can be checked for
  // each.
  request->record.run_id = request->id + "." + std::to_string(request->tries);
  request->record.reported_not_run = false;
  HttpRequest http{
      request->kind->method,
      request->kind->path,
      {{"Host", plan_.host_header}, {"X-Run-Id", request->record.run_id}},
      request->body};
  if (!request->caller->keeps_connections) {
    http.headers.push_back({"Connection", "close"});
  }
  if (!plan_.affinity_header.empty()) {
    http.headers.push_back(
        {plan_.affinity_header, std::to_string(request->object)});
  }
  if (!request->record.key.empty()) {
    http.headers.push_back({"Idempotency-Key", request->record.key});
  }
  const HttpClientPtr client = ConnectionFor(request);
  client->Send(
      http, {kRequestTimeout, kRequestTimeout},
      [this, request, client](const CallResult& result) {
        if (result.outcome == CallOutcome::kAnswered) {
          Keep(request, client);
        } else if (result.outcome != CallOutcome::kNotSent) {
          LoadCounts& counts = counts_[request->kind->name];
          ++(client->reused() ? counts.cut_kept_tries : counts.cut_tries);
        }
        OnResult(request, result);
      });
}

void LoadGenerator::OnResult(const RequestPtr& request,
                             const CallResult& result) {
  LoadCounts& counts = counts_[request->kind->name];
  const bool may_repeat = request->tries < kMaxTries;
  if (result.outcome != CallOutcome::kAnswered) {
    const bool not_sent = result.outcome == CallOutcome::kNotSent;
    request->record.reported_not_run = not_sent;
    records_.push_back(request->record);
    ++request->host_index;
    request->caller->hosts_until = {};
    const bool may_resend =
        not_sent || request->kind->keyed || request->kind->method == "GET";
    if (may_resend && may_repeat) {
      Repeat(request, kRepeatDelay);
      return;
    }
    ++counts.connection_lost;
    Finish(request);
    return;
  }
  const auto outcome =
      FindHeader(result.response.headers, "Pathcleat-Outcome").value_or("");
  request->record.reported_not_run = outcome == "not-run";
  records_.push_back(request->record);
  const double latency = ToMilliseconds(BootClock::now() - request->scheduled);
  if (outcome == "not-run") {
    ++counts.not_run;
    counts.refusal_ms.push_back(latency);
  } else if (result.response.status == http_status::kConflict && may_repeat) {
    Repeat(request, kRepeatDelay * 2);
    return;
  } else if (outcome == "answered" &&
             result.response.status == http_status::kOk) {
    // A stored answer names the run that produced it, which may be an earlier
    // try.
    const std::string text = result.response.body.str();
    const std::string run =
        text.substr(4, std::max<std::size_t>(text.find(" of "), 4) - 4);
    const bool is_own = run.substr(0, run.rfind('.')) == request->id;
    const bool is_complete =
        is_own &&
        text == ExpectedAnswer(run, request->kind->path, request->body);
    counts.corrupt_answers += is_complete ? 0 : 1;
    ++counts.answered;
    counts.latency_ms.push_back(latency);
  } else {
    ++counts.unknown;
  }
  Finish(request);
}

void LoadGenerator::Repeat(const RequestPtr& request,
                           std::chrono::milliseconds wait) {
  ScheduleAfter(wait, [this, request] { Send(request); });
}

void LoadGenerator::Finish(const RequestPtr&) {
  --in_flight_;
  if (all_arrived_ && in_flight_ == 0) {
    finished_();
  }
}

}  // namespace pathcleat
