// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// The periodic work of a host.

#include <sys/resource.h>

#include <algorithm>
#include <string>

#include "pathcleat/gateway/gateway.hpp"

namespace pathcleat {
namespace {

constexpr std::chrono::milliseconds kTickInterval{250};
// After a suspension of the machine, the timer of a request fires too late. So
// a request that is past its deadline by more than this time is ended. Within
// this time, answers that arrived during the suspension are read.
constexpr Duration kOverdueGrace{300'000};
// Time for two attempts at reading the rows of the other hosts. A host that has
// found no other hosts after this time reads all that it needs from the store.
constexpr Duration kRowReadTimeout{3'000'000};

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
  RunTickSteps(BootClock::now());
  state_.tick_due_at = BootClock::now() + kTickInterval;
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      state_.loop_turns.AddDelay(BootClock::now() - state_.tick_due_at);
      Tick();
    }
  });
}

// A step that throws neither ends the periodic work nor keeps the steps after
// it from running.
void Gateway::RunTickSteps(Time now) {
  const LoopTurnTimer turn(state_.loop_turns, LoopTask::kTick);
  const auto run = [this](const char* part, const auto& step) {
    state_.failures.Run(EntryPoint::kTick, part, step);
  };
  run("stall", [&] { HandleStall(now); });
  run("load", [&] { UpdateLoad(now); });
  run("requests", [&] {
    if (now - stall_ended_at_ >= kOverdueGrace) {
      state_.in_flight_requests.EndOverdue(now - kOverdueGrace);
    }
  });
  run("start", [&] {
    if (now - state_.started_at > kRowReadTimeout) {
      fleet_sync_.Start();
    }
  });
  run("reach", [&] { TickReach(now); });
  run("shifts", [&] { AdvanceShifts(now); });
  run("rollouts", [&] { AdvanceRollouts(now); });
  run("hosts", [&] { RecordSilentHosts(now); });
  run("feeds", [&] { fleet_sync_.Tick(now); });
  run("shares", [&] { state_.UpdateHostShares(now); });
  run("quotas", [&] {
    if (state_.quotas.control().HasUpdates()) {
      peer_link_.PublishUsage();
    }
  });
  run("crashes", [&] { state_.TickCrashes(now); });
  run("memory",
      [&] { state_.memory_monitor.Tick(*state_.memory_budget, now); });
  run("upstream connections", [&] { state_.connection_pool.CloseIdle(now); });
  run("host connections", [&] { state_.forwards.connections.CloseIdle(now); });
}

void Gateway::TickReach(Time now) {
  state_.reach.Tick(
      [this, now] {
        return state_.in_flight_requests.IsAnyUpstreamSilent(now);
      },
      now);
}

void Gateway::RecordSilentHosts(Time now) {
  for (const std::string& host : state_.hosts.TakeTimedOutHosts(now)) {
    if (state_.hosts.IsLeaving(host)) {
      state_.quotas.control().OnHostStopped(host);
    }
    state_.events.Record(EventCode::kPeerSilent, host,
                         "no heartbeats; not listed to callers any more");
  }
}

}  // namespace pathcleat
