// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// A host that says that it is ready takes connections.

#include "test_cluster.hpp"

#include <memory>
#include <vector>

#include "descriptor_exhaustion.hpp"
#include "raw_client.hpp"

namespace pathcleat {
namespace {

constexpr const char* kRequest =
    "GET /s/read/item HTTP/1.1\r\nHost: test.example\r\n\r\n";

// As the first callers after a restart: all at once, at the moment at which the
// host is ready.
Test(ready, host_that_has_just_started_answers_a_burst) {
  constexpr int kCallers = 60;
  TestCluster world;
  world.StartHost(0);
  cr_assert(world.Await([&] { return world.host(0).IsReady(); }));
  std::vector<std::unique_ptr<RawClient>> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<RawClient>(world.loop(), world.address(),
                                                  world.CallerPort(0)));
    callers.back()->Send(kRequest);
  }
  cr_assert(world.Await([&] {
    return std::all_of(callers.begin(), callers.end(), [](const auto& caller) {
      return caller->HasReceived("HTTP/1.1 200") ||
             caller->HasReceived("HTTP/1.1 503");
    });
  }));
}

// Checked to fail with CanAccept out of Gateway::IsReady.
Test(ready, host_without_descriptors_is_not_ready) {
  TestCluster world;
  world.StartAll();
  world.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
  RawClient held(world.loop(), world.address(), world.CallerPort(0));
  held.Send(kRequest);
  cr_assert(world.Await([&] { return world.InFlight() == 1; }));
  boost::asio::ip::tcp::socket late(world.loop());
  late.open(boost::asio::ip::tcp::v4());
  DescriptorExhaustion none;
  late.connect(
      {boost::asio::ip::make_address(world.address()), world.CallerPort(0)});
  cr_assert(world.Await([&] { return !world.host(0).IsReady(); }));
  constexpr std::size_t kEnough = 20;
  none.Release(kEnough);
  cr_assert(world.Await([&] { return world.host(0).IsReady(); }));
}

}  // namespace
}  // namespace pathcleat
