// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include <QCoreApplication>
#include <QEventLoop>
#include <QHostAddress>
#include <QTcpSocket>
#include <QTimer>
#include <fstream>
#include <memory>
#include <string>

#include "pathcleat/host/entry_host.hpp"
#include "pathcleat/host/locate.hpp"
#include "pathcleat/lab/slope.hpp"
#include "stopwatch.hpp"

namespace pathcleat {
namespace {

constexpr const char* kAddress = "127.97.0.1";
constexpr const char* kCaller = "10.1.2.3";
constexpr double kKilobytesInMegabyte = 1e3;

// Resident memory of this process, in MB.
double ResidentMegabytes() {
  std::ifstream status("/proc/self/status");
  for (std::string word; status >> word;) {
    if (word == "VmRSS:") {
      double kilobytes = 0;
      status >> kilobytes;
      return kilobytes / kKilobytesInMegabyte;
    }
  }
  return 0;
}

HostSettings SettingsWith(std::uint16_t domains) {
  HostSettings settings;
  settings.peer_key = "key of the measurement";
  settings.operator_token = "token of the measurement";
  Deployment& deployment = settings.deployment;
  deployment.regions.push_back({"region", 0});
  deployment.services.push_back({"s", "/s", "/health", {}});
  for (std::uint16_t i = 0; i < domains; ++i) {
    deployment.domains.push_back({"domain-" + std::to_string(i), {0}});
    deployment.seats.push_back({"host-" + std::to_string(i),
                                {i},
                                kAddress,
                                static_cast<std::uint16_t>(30'000 + i * 3),
                                static_cast<std::uint16_t>(30'001 + i * 3),
                                static_cast<std::uint16_t>(30'002 + i * 3)});
  }
  deployment.platform = {kAddress, 29'999, 10, 10};
  return settings;
}

void TellAllDomains(Shared& shared) {
  Gossip gossip;
  const auto& domains = shared.settings.deployment.domains;
  for (const DomainIndex domain : IndicesOf<DomainIndex>(domains)) {
    DomainSummary summary;
    summary.domain = domain;
    summary.computed = {1, 1};
    summary.contacts = {SeatIndex{domain.value}};
    gossip.summaries.push_back(summary);
  }
  shared.members.OnGossip(gossip, BootClock::now());
}

Slope LocateSlope() {
  Slope cost{"locate: answer without HTTP, CPU us",
             "failure domains known",
             {},
             0,
             0,
             0};
  for (const std::uint16_t domains : {6, 25, 50, 100, 151}) {
    Shared shared(SettingsWith(domains));
    TellAllDomains(shared);
    cost.points.push_back(
        PointOf(domains, TimeCalls(2'000, [&shared](std::size_t) {
                  const std::string answer = LocateJson(shared, kCaller);
                })));
  }
  return Fitted(cost);
}

// Whole look-ups over one kept connection, this process being both ends, so
// that the cost is an upper bound.
Slope LocateHttpSlope(EntryHost& host) {
  Slope cost{"locate: whole look-up over HTTP, both ends, CPU us",
             "look-ups in a batch",
             {},
             0,
             0,
             0};
  const Seat& seat = host.shared().settings.self();
  const std::string ask =
      "GET /v1/locate?service=s HTTP/1.1\r\nHost: t\r\n\r\n";
  for (const int batch : {2'000, 4'000, 8'000, 16'000}) {
    std::vector<double> runs;
    constexpr int kRuns = 3;
    for (int run = 0; run < kRuns; ++run) {
      QTcpSocket socket;
      socket.connectToHost(QHostAddress(kAddress), seat.caller_port);
      socket.waitForConnected();
      // The listener lives in this thread, the connection then in a worker's.
      while (host.shared().connections == 0) {
        QCoreApplication::processEvents();
      }
      const double began = CpuMicros();
      for (int done = 0; done < batch; ++done) {
        socket.write(ask.data(), static_cast<qint64>(ask.size()));
        QByteArray answer;
        while (!answer.contains("}")) {
          socket.waitForReadyRead();
          answer += socket.readAll();
        }
      }
      runs.push_back((CpuMicros() - began) / batch);
      socket.abort();
      while (host.shared().connections > 0) {
        QCoreApplication::processEvents();
      }
    }
    cost.points.push_back(PointOf(batch, runs));
  }
  return Fitted(cost);
}

Slope ConnectionSlope(EntryHost& host) {
  Slope memory{"callers' idle connections: memory, MB, both ends",
               "connections",
               {},
               0,
               0,
               0};
  const Seat& seat = host.shared().settings.self();
  std::vector<std::unique_ptr<QTcpSocket>> sockets;
  for (const int count : {100, 200, 400, 800}) {
    while (static_cast<int>(sockets.size()) < count) {
      sockets.push_back(std::make_unique<QTcpSocket>());
      sockets.back()->connectToHost(QHostAddress(kAddress), seat.caller_port);
      sockets.back()->waitForConnected();
      QCoreApplication::processEvents();
    }
    while (host.shared().connections < count) {
      QCoreApplication::processEvents();
    }
    memory.points.push_back(PointOf(count, {ResidentMegabytes()}));
  }
  return Fitted(memory);
}

Slope IdleSlope() {
  Slope cost{"host at rest: CPU us a second (heartbeats, ticks, gossip)",
             "failure domains in the settings",
             {},
             0,
             0,
             0};
  for (const std::uint16_t domains : {2, 6, 25, 100}) {
    EntryHost host(SettingsWith(domains));
    TryOr([&host] { return host.Start(); }, [](const Error&) {});
    constexpr int kRuns = 3;
    constexpr int kMillis = 1'000;
    std::vector<double> runs;
    for (int run = 0; run < kRuns; ++run) {
      QEventLoop loop;
      QTimer::singleShot(kMillis, &loop, [&loop] { loop.quit(); });
      const double began = CpuMicros();
      loop.exec();
      runs.push_back(CpuMicros() - began);
    }
    cost.points.push_back(PointOf(domains, runs));
  }
  return Fitted(cost);
}

}  // namespace

std::vector<Slope> HostSlopes() {
  std::vector<Slope> slopes = {LocateSlope(), IdleSlope()};
  EntryHost host(SettingsWith(2));
  TryOr([&host] { return host.Start(); }, [](const Error&) {});
  // The callers' requests are served by the workers' threads.
  slopes.push_back(LocateHttpSlope(host));
  slopes.push_back(ConnectionSlope(host));
  return slopes;
}

}  // namespace pathcleat
