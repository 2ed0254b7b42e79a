// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include <string>

#include "pathcleat/core/mac.hpp"
#include "pathcleat/fleet/heartbeat.hpp"
#include "pathcleat/fleet/host_table.hpp"
#include "pathcleat/lab/cost_curve.hpp"
#include "stopwatch.hpp"

namespace pathcleat {
namespace {

constexpr int kRuns = 5;
constexpr const char* kKey = "key of the slopes";

Heartbeat HeartbeatOf(int number) {
  Heartbeat heartbeat;
  heartbeat.host.name = "entry-" + std::to_string(number);
  heartbeat.host.domain = "domain";
  heartbeat.host.region = "region";
  heartbeat.host.caller_address = "10.1.0.35:8144";
  heartbeat.host.peer_address = "10.1.0.35:7660";
  return heartbeat;
}

// CPU time in microseconds to seal one heartbeat of each of the given number of
// hosts, and to verify, decode and record it once.
double RoundMicros(int hosts) {
  HostTable table(HeartbeatOf(-1).host, Duration(2'500'000));
  const double started = CpuMicros();
  for (int i = 0; i < hosts; ++i) {
    const std::string bytes = AppendMac(EncodeHeartbeat(HeartbeatOf(i)), kKey);
    const auto message = VerifyMac(bytes, kKey);
    const auto heartbeat = DecodeHeartbeat(*message);
    table.OnHeartbeat(heartbeat->host, heartbeat->versions, BootClock::now());
  }
  return CpuMicros() - started;
}

}  // namespace

std::vector<CostCurve> MeasureHeartbeatCosts() {
  CostCurve time;
  time.name = "heartbeats sent and received once, us";
  time.size_unit = "other hosts";
  for (const int size : {10, 50, 100, 200}) {
    std::vector<double> runs;
    runs.reserve(kRuns);
    for (int run = 0; run < kRuns; ++run) {
      runs.push_back(RoundMicros(size));
    }
    time.points.push_back(MakeCostPoint(size, runs));
  }
  CostCurve bytes;
  bytes.name = "heartbeats sent once, bytes without headers";
  bytes.size_unit = "other hosts";
  for (const int size : {10, 100}) {
    const double single = static_cast<double>(
        AppendMac(EncodeHeartbeat(HeartbeatOf(1)), kKey).size());
    bytes.points.push_back(MakeCostPoint(size, {single * size}));
  }
  return {FitLine(time), FitLine(bytes)};
}

}  // namespace pathcleat
