// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Requests reached upstreams seconds after these had said that they leave,
// from hosts that were late with all they did: one was chosen, the connection
// to it took a second to open, and the request was sent on by the old choice.

#include <functional>

#include "raw_client.hpp"
#include "test_world.hpp"

namespace pathcleat {
namespace {

// One host; it chooses an upstream for a request, and learns something while
// the connection to that one opens.
struct OpeningWorld {
  OpeningWorld() : world(Plan()) {
    world.StartAll();
    caller = std::make_unique<RawClient>(world.loop(), world.address(),
                                         world.CallerPort(0));
  }

  static TestWorldPlan Plan() {
    TestWorldPlan plan;
    plan.hosts_in_domain = {1};
    return plan;
  }

  // Runs the loop up to the turn in which the host has chosen, and no further:
  // the connection cannot have been told open yet.
  UpstreamPtr SendAndAwaitChoice(const std::string& text) {
    caller->Send(text);
    world.loop().restart();
    while (!Chosen()) {
      world.loop().run_one();
    }
    return Chosen();
  }

  UpstreamPtr Chosen() {
    for (const UpstreamPtr& upstream : state().upstreams.All()) {
      if (upstream->load.own() > 0) {
        return upstream;
      }
    }
    return nullptr;
  }

  void ExpectAnswerFromAnother(const UpstreamPtr& chosen) {
    cr_assert(world.Await([this] { return caller->Has("\r\n\r\n"); }));
    cr_assert(caller->Has("HTTP/1.1 200"), "%s", caller->received().c_str());
    cr_assert_eq(world.TotalRuns(), 1);
    for (std::size_t i = 0; i < world.upstreams(); ++i) {
      if (world.upstream(i).id() == chosen->info.id) {
        cr_assert_eq(world.upstream(i).ledger().runs, 0);
      }
    }
    cr_assert_eq(chosen->load.own(), 0);
  }

  GatewayState& state() { return world.host(0).state(); }

  TestWorld world;
  std::unique_ptr<RawClient> caller;
};

const std::string kGet =
    "GET /s/read/item HTTP/1.1\r\nHost: test.example\r\nX-Run-Id: r\r\n\r\n";
const std::string kPost =
    "POST /s/write/entry HTTP/1.1\r\nHost: test.example\r\nX-Run-Id: r\r\n"
    "Content-Length: 1\r\n\r\nb";

// Promise: an upstream that is leaving receives no new work.
Test(promise, leaving_upstream_gets_nothing_over_a_connection_that_opens) {
  for (const std::string& request : {kGet, kPost}) {
    OpeningWorld opening;
    const UpstreamPtr chosen = opening.SendAndAwaitChoice(request);
    UpstreamInfo leaving = chosen->info;
    leaving.leaving = true;
    opening.state().upstreams.Put(leaving, BootClock::now());
    opening.ExpectAnswerFromAnother(chosen);
  }
}

}  // namespace
}  // namespace pathcleat
