// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/lab/upstream_stand_in.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "pathcleat/calls/upstream_protocol.hpp"
#include "pathcleat/http/http_status.hpp"

namespace pathcleat {
namespace {

constexpr std::size_t kPaddingBytes = 2'000;
constexpr int kMisdirected = 421;

std::string HeaderValue(const HttpExchangePtr& exchange,
                        const std::string& name) {
  return FindHeader(exchange->request().headers, name).value_or("");
}

}  // namespace

std::string ExpectedAnswer(const std::string& run_id,
                           const std::string& target,
                           const std::string& body) {
  std::string answer = "run " + run_id + " of " + target + "\n" + body + "\n";
  answer.append(kPaddingBytes, run_id.empty() ? '-' : run_id.back());
  answer += "\nend " + run_id + "\n";
  return answer;
}

UpstreamStandIn::UpstreamStandIn(boost::asio::io_context& loop,
                                 const UpstreamStandInOptions& options)
    : loop_(loop),
      options_(options),
      server_(std::make_unique<HttpServer>(
          loop,
          [this](const HttpExchangePtr& e) { Handle(e); })),
      random_(options.seed) {
  HttpLimits limits;
  limits.max_body_bytes = 64ULL * 1024 * 1024;
  server_->SetLimits(limits);
}

Result<std::uint16_t> UpstreamStandIn::Listen(const std::string& address,
                                              std::uint16_t port) {
  return server_->Listen(address, port);
}

void UpstreamStandIn::Crash() {
  server_.reset();
}

std::string UpstreamStandIn::LoadHeaderValue() const {
  return std::to_string(in_flight_) + "," + std::to_string(queue_.size()) +
         "," + std::to_string(options_.slots);
}

void UpstreamStandIn::AddStateHeaders(HttpResponse& response) {
  response.headers.push_back({options_.headers.load, LoadHeaderValue()});
  if (!limit_header_.empty()) {
    response.headers.push_back({options_.headers.rate_limit, limit_header_});
  }
  if (!leaving_header_.empty()) {
    response.headers.push_back({options_.headers.leaving, leaving_header_});
    ledger_.announced_leaving_at =
        ledger_.announced_leaving_at.value_or(BootClock::now());
  }
}

void UpstreamStandIn::Handle(const HttpExchangePtr& exchange) {
  if (exchange->request().target == "/health") {
    HttpResponse response = TextResponse(http_status::kOk, "well\n");
    response.headers.push_back({options_.headers.upstream_id, options_.id});
    AddStateHeaders(response);
    exchange->Respond(std::move(response));
    return;
  }
  ledger_.arrivals.push_back(BootClock::now());
  if (IsForOtherUpstream(exchange)) {
    RejectAsNotRun(exchange, kMisdirected);
    return;
  }
  if (action_chooser_) {
    PerformAction(exchange, action_chooser_());
    return;
  }
  const bool full = in_flight_ >= options_.slots &&
                    static_cast<int>(queue_.size()) >= options_.queue_capacity;
  if (reject_requests_ || full) {
    RejectAsNotRun(exchange, http_status::kUnavailable);
    return;
  }
  if (options_.enforces_deadlines) {
    WatchDeadline(exchange);
  }
  RunOrQueue(exchange);
}

void UpstreamStandIn::PerformAction(const HttpExchangePtr& exchange,
                                    const UpstreamAction& action) {
  if (action.kind != UpstreamAction::Kind::kReject) {
    const bool held = std::exchange(hold_answers_, true);
    StartRun(exchange);
    hold_answers_ = held;
  }
  if (action.kind == UpstreamAction::Kind::kNeverAnswer) {
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(loop_, action.delay);
  timer->async_wait([this, timer, exchange,
                     kind = action.kind](const boost::system::error_code&) {
    if (exchange->IsOpen()) {
      FinishAction(exchange, kind);
    }
  });
}

void UpstreamStandIn::FinishAction(const HttpExchangePtr& exchange,
                                   UpstreamAction::Kind kind) {
  std::erase(held_exchanges_, exchange);
  if (kind == UpstreamAction::Kind::kReject) {
    RejectAsNotRun(exchange, http_status::kUnavailable);
  } else if (kind == UpstreamAction::Kind::kDisconnect) {
    exchange->DropConnection();
    FinishRun();
  } else {
    Answer(exchange);
  }
}

void UpstreamStandIn::WatchDeadline(const HttpExchangePtr& exchange) {
  const auto timeout = CallerTimeout(options_.headers, exchange->request());
  if (!timeout) {
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(loop_, *timeout);
  timer->async_wait([this, timer, exchange](const boost::system::error_code&) {
    OnDeadline(exchange);
  });
}

void UpstreamStandIn::OnDeadline(const HttpExchangePtr& exchange) {
  if (!exchange->IsOpen()) {
    return;
  }
  if (std::erase(queue_, exchange) > 0) {
    RejectAsNotRun(exchange, http_status::kUnavailable);
    return;
  }
  std::erase(held_exchanges_, exchange);
  HttpResponse response =
      TextResponse(http_status::kGatewayTimeout, "ended at its deadline\n");
  const HeaderNames& names = options_.headers;
  response.headers.push_back(
      {names.request_id, HeaderValue(exchange, names.request_id)});
  exchange->Respond(std::move(response));
  FinishRun();
}

bool UpstreamStandIn::IsForOtherUpstream(
    const HttpExchangePtr& exchange) const {
  const std::string expected_id =
      HeaderValue(exchange, options_.headers.expect_upstream);
  return !expected_id.empty() && expected_id != options_.id;
}

void UpstreamStandIn::RejectAsNotRun(const HttpExchangePtr& exchange,
                                     int status) {
  ++ledger_.rejected;
  HttpResponse response = TextResponse(status, "not run\n");
  if (states_not_run_) {
    response.headers.push_back({options_.headers.not_run, "1"});
  }
  if (!retry_after_.empty() && status == http_status::kUnavailable) {
    response.headers.push_back({"Retry-After", retry_after_});
    ledger_.asked_for_time_at =
        ledger_.asked_for_time_at.value_or(BootClock::now());
  }
  AddStateHeaders(response);
  exchange->Respond(std::move(response));
}

void UpstreamStandIn::RunOrQueue(const HttpExchangePtr& exchange) {
  if (in_flight_ >= options_.slots) {
    queue_.push_back(exchange);
    return;
  }
  StartRun(exchange);
}

void UpstreamStandIn::StartRun(const HttpExchangePtr& exchange) {
  ++ledger_.runs;
  ++ledger_.runs_by_id[HeaderValue(exchange, "X-Run-Id")];
  const std::string key = HeaderValue(exchange, "Idempotency-Key");
  if (!key.empty()) {
    ++ledger_.runs_by_key[key];
  }
  ++ledger_.runs_by_account[HeaderValue(exchange, options_.headers.account)];
  ledger_.requests_with_authorization +=
      HeaderValue(exchange, "Authorization").empty() ? 0 : 1;
  UpdateSlotSeconds();
  ++in_flight_;
  ledger_.peak_in_flight = std::max(ledger_.peak_in_flight, in_flight_);
  exchange->OnAbandoned([this] { FinishRun(); });
  if (exchange->request().target == crash_target_) {
    // Posted, because Crash() destroys the server, which is still running this
    // callback.
    boost::asio::post(loop_, [this] { Crash(); });
    return;
  }
  if (hold_answers_) {
    held_exchanges_.push_back(exchange);
    return;
  }
  auto timer =
      std::make_shared<boost::asio::steady_timer>(loop_, DrawWorkTime());
  timer->async_wait([this, timer, exchange](const boost::system::error_code&) {
    Answer(exchange);
  });
}

// Nothing is drawn for the tail while there is none, so that the times of runs
// with the same seed stay the same.
std::chrono::microseconds UpstreamStandIn::DrawWorkTime() {
  if (tail_share_ > 0 && std::bernoulli_distribution(tail_share_)(random_)) {
    return tail_work_;
  }
  std::exponential_distribution<double> draw(1.0);
  const auto mean = static_cast<double>(options_.mean_service_time.count());
  return std::chrono::microseconds(
      static_cast<std::int64_t>(mean * draw(random_)));
}

void UpstreamStandIn::UpdateSlotSeconds() {
  const Time now = BootClock::now();
  ledger_.slot_seconds +=
      in_flight_ *
      std::chrono::duration<double>(now - slot_seconds_until_).count();
  slot_seconds_until_ = now;
}

void UpstreamStandIn::FinishRun() {
  UpdateSlotSeconds();
  --in_flight_;
  while (!queue_.empty() && in_flight_ < options_.slots) {
    const HttpExchangePtr next = queue_.front();
    queue_.erase(queue_.begin());
    if (next->IsOpen()) {
      StartRun(next);
    }
  }
}

void UpstreamStandIn::ReleaseAnswer(std::size_t index) {
  const HttpExchangePtr exchange = held_exchanges_.at(index);
  held_exchanges_.erase(held_exchanges_.begin() +
                        static_cast<std::ptrdiff_t>(index));
  Answer(exchange);
}

void UpstreamStandIn::ReleaseAnswerOfRun(const std::string& run_id) {
  const auto found =
      std::find_if(held_exchanges_.begin(), held_exchanges_.end(),
                   [&run_id](const HttpExchangePtr& exchange) {
                     return HeaderValue(exchange, "X-Run-Id") == run_id;
                   });
  if (found != held_exchanges_.end()) {
    ReleaseAnswer(static_cast<std::size_t>(found - held_exchanges_.begin()));
  }
}

void UpstreamStandIn::Answer(const HttpExchangePtr& exchange) {
  if (!exchange->IsOpen()) {
    return;
  }
  const HttpRequest& request = exchange->request();
  // Nothing is drawn while no answer fails, so that the times of runs with the
  // same seed stay the same.
  const bool fails =
      failed_share_ > 0 && std::bernoulli_distribution(failed_share_)(random_);
  HttpResponse response =
      TextResponse(fails ? http_status::kInternalError : http_status::kOk,
                   ExpectedAnswer(HeaderValue(exchange, "X-Run-Id"),
                                  request.target, request.body.str()));
  const HeaderNames& names = options_.headers;
  const std::string id = HeaderValue(exchange, names.request_id);
  const bool wrong_id = corruption_ == AnswerCorruption::kWrongRequestId;
  response.headers.push_back({names.request_id, wrong_id ? "stranger" : id});
  AddStateHeaders(response);
  if (!names.signature.empty() &&
      corruption_ != AnswerCorruption::kNoSignature) {
    response.headers.push_back({names.signature, "signed." + id});
  }
  if (corruption_ == AnswerCorruption::kNoAnswer) {
    exchange->DropConnection();
  } else {
    exchange->Respond(std::move(response));
  }
  FinishRun();
}

}  // namespace pathcleat
