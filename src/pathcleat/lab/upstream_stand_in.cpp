// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/lab/upstream_stand_in.hpp"
#include "pathcleat/net/http_status.hpp"

#include <QTimer>
#include <algorithm>
#include <memory>

namespace pathcleat {
namespace {

constexpr std::size_t kFillBytes = 2'000;

std::string Field(const HttpExchangePtr& exchange, const char* name) {
  return FindHeader(exchange->request().headers, name).value_or("");
}

}  // namespace

std::string ExpectedAnswer(const std::string& run_id,
                           const std::string& target,
                           const std::string& body) {
  std::string answer = "run " + run_id + " of " + target + "\n" + body + "\n";
  answer.append(kFillBytes, run_id.empty() ? '-' : run_id.back());
  answer += "\nend " + run_id + "\n";
  return answer;
}

UpstreamStandIn::UpstreamStandIn(const UpstreamStandInOptions& options,
                                 QObject* parent)
    : QObject(parent),
      options_(options),
      listener_([this](const HttpExchangePtr& e) { Handle(e); }, this),
      random_(options.seed) {}

Result<std::uint16_t> UpstreamStandIn::Listen(const std::string& address,
                                              std::uint16_t port) {
  return listener_.Listen(address, port);
}

void UpstreamStandIn::Crash() {
  listener_.CutAll();
}

void UpstreamStandIn::Handle(const HttpExchangePtr& exchange) {
  if (exchange->request().target == "/health") {
    exchange->Respond(
        JsonResponse(http_status::kOk, leaving_ ? R"({"state":"leaving"})"
                                                : R"({"state":"ok"})"));
    return;
  }
  Run(exchange);
}

void UpstreamStandIn::Run(const HttpExchangePtr& exchange) {
  ++ledger_.runs;
  ++ledger_.runs_by_id[Field(exchange, "X-Run-Id")];
  const std::string key = Field(exchange, "Idempotency-Key");
  if (!key.empty()) {
    ++ledger_.runs_by_key[key];
  }
  ++in_flight_;
  ledger_.most_in_flight = std::max(ledger_.most_in_flight, in_flight_);
  ledger_.over_slots += in_flight_ > options_.slots ? 1 : 0;
  // Cancellation: the other end closed.
  exchange->OnAbandoned([this] { --in_flight_; });
  if (hold_) {
    held_.push_back(exchange);
    return;
  }
  std::exponential_distribution<double> draw(1.0);
  const auto mean = static_cast<double>(options_.mean_service_time.count());
  const auto time = std::chrono::microseconds(
      static_cast<std::int64_t>(mean * draw(random_)));
  const std::string deadline_text = Field(exchange, "X-Deadline-Ms");
  const std::chrono::milliseconds deadline(
      deadline_text.empty() ? 60'000 : std::stol(deadline_text));
  const bool late = time > deadline;
  const auto wait =
      late ? deadline : std::chrono::round<std::chrono::milliseconds>(time);
  QTimer::singleShot(wait, Qt::PreciseTimer, this, [this, exchange, late] {
    if (!exchange->IsOpen()) {
      return;
    }
    if (late) {
      --in_flight_;
      exchange->Respond(
          TextResponse(http_status::kGatewayTimeout, "deadline passed\n"));
      return;
    }
    Answer(exchange);
  });
}

void UpstreamStandIn::AnswerHeld(std::size_t index) {
  const HttpExchangePtr exchange = held_.at(index);
  held_.erase(held_.begin() + static_cast<std::ptrdiff_t>(index));
  Answer(exchange);
}

void UpstreamStandIn::AnswerRun(const std::string& run_id) {
  const auto found = std::find_if(
      held_.begin(), held_.end(), [&run_id](const HttpExchangePtr& exchange) {
        return Field(exchange, "X-Run-Id") == run_id;
      });
  if (found != held_.end()) {
    AnswerHeld(static_cast<std::size_t>(found - held_.begin()));
  }
}

void UpstreamStandIn::Answer(const HttpExchangePtr& exchange) {
  if (!exchange->IsOpen()) {
    return;
  }
  --in_flight_;
  const HttpRequest& request = exchange->request();
  HttpResponse response = TextResponse(
      http_status::kOk, ExpectedAnswer(Field(exchange, "X-Run-Id"),
                                       request.target, request.body));
  if (leaving_) {
    response.headers.push_back({"X-Upstream-State", "leaving"});
  }
  exchange->Respond(std::move(response));
}

}  // namespace pathcleat
