// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// A host that reports itself ready accepts connections.

#include "test_cluster.hpp"

#include <memory>
#include <vector>

#include "descriptor_exhaustion.hpp"
#include "raw_client.hpp"

namespace pathcleat {
namespace {

constexpr const char* kRequest =
    "GET /s/read/item HTTP/1.1\r\nHost: test.example\r\n\r\n";

// After a restart all callers connect at once, at the moment at which the host
// becomes ready.
Test(ready, host_that_has_just_started_answers_a_burst) {
  constexpr int kCallers = 60;
  TestCluster cluster;
  cluster.StartHost(0);
  cr_assert(cluster.Await([&] { return cluster.host(0).IsReady(); }));
  std::vector<std::unique_ptr<RawClient>> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<RawClient>(
        cluster.loop(), cluster.address(), cluster.CallerPort(0)));
    callers.back()->Send(kRequest);
  }
  cr_assert(cluster.Await([&] {
    return std::all_of(callers.begin(), callers.end(), [](const auto& caller) {
      return caller->HasReceived("HTTP/1.1 200") ||
             caller->HasReceived("HTTP/1.1 503");
    });
  }));
}

// A host that has run out of file descriptors cannot accept connections. Fails
// without CanAccept in Gateway::IsReady.
Test(ready, host_without_descriptors_is_not_ready) {
  TestCluster cluster;
  cluster.StartAll();
  cluster.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
  RawClient held_caller(cluster.loop(), cluster.address(),
                        cluster.CallerPort(0));
  held_caller.Send(kRequest);
  cr_assert(cluster.Await([&] { return cluster.InFlight() == 1; }));
  boost::asio::ip::tcp::socket late_socket(cluster.loop());
  late_socket.open(boost::asio::ip::tcp::v4());
  DescriptorExhaustion exhaustion;
  late_socket.connect({boost::asio::ip::make_address(cluster.address()),
                       cluster.CallerPort(0)});
  cr_assert(cluster.Await([&] { return !cluster.host(0).IsReady(); }));
  constexpr std::size_t kReleased = 20;
  exhaustion.Release(kReleased);
  cr_assert(cluster.Await([&] { return cluster.host(0).IsReady(); }));
}

}  // namespace
}  // namespace pathcleat
