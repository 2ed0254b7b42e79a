// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// The start of a host, which may wait until its ports are free.

#include <string>
#include <utility>

#include "pathcleat/gateway/gateway.hpp"

namespace pathcleat {
namespace {

// A predecessor that has ended is replaced within this time. An attempt takes
// 0.2 ms of processor time at most, by a debug build.
constexpr std::chrono::milliseconds kPortRetryInterval{100};

}  // namespace

Result<void> Gateway::Start(StartFailureHandler on_failed) {
  on_start_failed_ = std::move(on_failed);
  start_called_at_ = BootClock::now();
  LimitServers();
  BOOST_LEAF_CHECK(AddPorts());
  if (const auto error = OpenPorts()) {
    return Fail(*error);
  }
  return {};
}

Result<void> Gateway::AddPorts() {
  const EntrySettings& settings = state_.settings;
  BOOST_LEAF_CHECK(ports_.Add(caller_server_, settings.listen.callers));
  BOOST_LEAF_CHECK(ports_.Add(readiness_server_, settings.listen.readiness));
  BOOST_LEAF_CHECK(ports_.Add(locate_server_, settings.listen.locate));
  BOOST_LEAF_CHECK(ports_.Add(operator_server_, settings.listen.operators));
  BOOST_LEAF_CHECK(ports_.Add(metrics_server_, settings.listen.metrics));
  ports_.SetPeerAddress(settings.peer_address, settings.peer_port);
  return ports_.Add(
      fleet_sync_.peer_server(),
      settings.peer_address + ":" + std::to_string(settings.peer_port));
}

// Returns the error if waiting cannot help.
std::optional<Error> Gateway::OpenPorts() {
  std::optional<Error> error = TryOr(
      [this]() -> Result<std::optional<Error>> {
        BOOST_LEAF_CHECK(ports_.Open());
        return std::optional<Error>();
      },
      [](const Error& failure) { return std::optional<Error>(failure); });
  if (!error) {
    StartServing();
    return std::nullopt;
  }
  if (error->code != ErrorCode::kInUse) {
    return error;
  }
  AwaitPorts(*error);
  return std::nullopt;
}

// Another process has the port for as long as it runs: a predecessor until the
// end of its grace time, or an outgoing connection with this local port.
void Gateway::AwaitPorts(const Error& taken) {
  if (reported_ports_.insert({taken.step, taken.peer}).second) {
    state_.events.Record(
        EventCode::kPortTaken, state_.settings.host,
        ToString(taken) + "; waiting until it is free",
        {{field::kAddress, taken.peer}, {field::kStep, taken.step}});
  }
  start_timer_.expires_after(kPortRetryInterval);
  start_timer_.async_wait([this](const boost::system::error_code& timer_error) {
    if (timer_error || state_.leaving) {
      return;
    }
    if (const auto error = OpenPorts()) {
      on_start_failed_(*error);
    }
  });
}

void Gateway::StartServing() {
  const Time now = BootClock::now();
  if (!reported_ports_.empty()) {
    state_.events.Record(
        EventCode::kPortsOpened, state_.settings.host, "",
        {MillisecondsField(field::kWaitMs, now - start_called_at_)});
  }
  is_serving_ = true;
  state_.started_at = now;
  peer_link_.Start();
  fleet_sync_.StartFeed();
  startup_loader_.Start();
  Tick();
  state_.events.Record(EventCode::kHostStarted, state_.settings.host,
                       "callers at " + state_.settings.listen.callers);
}

}  // namespace pathcleat
