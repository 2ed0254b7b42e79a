// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// The planned stop of a host, until its process may exit.

#include <string>
#include <utility>

#include "pathcleat/gateway/gateway.hpp"

namespace pathcleat {
namespace {

constexpr std::chrono::milliseconds kIdleCheckInterval{20};

}  // namespace

void Gateway::Stop(std::function<void()> done) {
  if (state_.leaving) {
    return;
  }
  state_.leaving = true;
  if (!is_serving_) {
    start_timer_.cancel();
    state_.events.Record(EventCode::kHostLeaving, state_.settings.host,
                         "not started yet");
    done();
    return;
  }
  on_stopped_ = std::move(done);
  const Time now = BootClock::now();
  state_.shutdown.Begin(now, state_.settings.bounds.stop_grace);
  caller_server_.CloseAfterAnswers();
  RunStopStep([this] {
    state_.hosts.SetLeaving();
    peer_link_.PublishHeartbeat();
  });
  RunStopStep([this] { fleet_sync_.StopPublishing(); });
  RunStopStep([this] {
    state_.events.Record(EventCode::kHostLeaving, state_.settings.host, "");
  });
  const Time accepts_until =
      state_.shutdown.AcceptsUntil(state_.routes.ShortestTimeout());
  stop_timer_.expires_after(accepts_until - now);
  stop_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      StopAccepting();
    }
  });
}

// A step that throws must not keep the process from exiting in time.
void Gateway::RunStopStep(const std::function<void()>& step) {
  state_.failures.Run(EntryPoint::kStop, state_.settings.host, step);
}

void Gateway::StopAccepting() {
  RunStopStep([this] { caller_server_.StopAccepting(); });
  WaitUntilIdle();
}

void Gateway::RecordStopped() {
  const auto& refusals = state_.metrics.refusals();
  const auto refused = refusals.find(ReasonOf(PickFailure::kHostStops));
  state_.events.Record(
      EventCode::kHostStopped, state_.settings.host,
      std::to_string(state_.in_flight_count) + " requests left unanswered",
      {IntegerField(field::kRefused,
                    refused == refusals.end() ? 0 : refused->second),
       IntegerField(field::kGivenUp, state_.metrics.given_up_at_shutdown())});
}

void Gateway::WaitUntilIdle() {
  const Time now = BootClock::now();
  if (now >= state_.shutdown.closes_idle_at() && !closes_idle_) {
    closes_idle_ = true;
    RunStopStep([this] { caller_server_.CloseGracefully(); });
  }
  if (now >= state_.shutdown.final_answer_time()) {
    RunStopStep([this] { state_.in_flight_requests.OnHostShutdown(); });
  }
  const bool is_idle = state_.in_flight_count == 0 &&
                       caller_server_.connection_count() == 0 &&
                       !fleet_sync_.peer_server().IsWriting() &&
                       state_.idempotency_keys.pending_writes() == 0;
  if (is_idle || now >= state_.shutdown.exit_time()) {
    RunStopStep([this] { RecordStopped(); });
    on_stopped_();
    return;
  }
  stop_timer_.expires_after(kIdleCheckInterval);
  stop_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      WaitUntilIdle();
    }
  });
}

}  // namespace pathcleat
