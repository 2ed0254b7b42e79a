// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Some hosts are cut off from all upstreams, while callers, the store and the
// other hosts still reach them.

#include "test_cluster.hpp"

namespace pathcleat {
namespace {

// The time that a host has to notice a cut.
constexpr Duration kNoticeTime{3'000'000};
constexpr int kRequestsPerHost = 8;
constexpr int kWriteEvery = 4;  // of the requests, one in so many is a write

TestClusterPlan ThreeRegions() {
  TestClusterPlan plan;
  plan.hosts_in_domain = {2, 2, 2};
  plan.upstreams_behind_proxies = true;
  plan.slots = 8;
  plan.timeout = Duration(1'000'000);
  return plan;
}

bool IsCut(std::size_t host) {
  return host % 2 == 0;
}

struct CutFixture {
  TestCluster cluster{ThreeRegions()};
  int sent = 0;

  CutFixture() {
    cluster.StartAll();
    SendToAll(2);
  }

  void Cut(CutMode mode) {
    for (std::size_t host = 0; host < 6; ++host) {
      if (IsCut(host)) {
        cluster.CutHost(host, mode);
      }
    }
  }

  void EndCut() {
    for (std::size_t host = 0; host < 6; ++host) {
      cluster.EndCut(host);
    }
  }

  // Sends one request as a caller's first attempt; counts a whole answer.
  bool Send(std::size_t host) {
    const std::string id = "r" + std::to_string(++sent);
    const bool is_write = sent % kWriteEvery == 0;
    const CallResult result =
        is_write ? cluster.Post(host, id) : cluster.Get(host, id);
    const bool served = result.outcome == CallOutcome::kAnswered &&
                        result.response.status == http_status::kOk;
    if (is_write) {
      cr_assert_leq(cluster.RunsOf(id), 1);
    }
    if (TestCluster::OutcomeHeader(result) == "not-run") {
      cr_assert_eq(cluster.RunsOf(id), 0);
    }
    return served;
  }

  // Share of first attempts that are served, at cut hosts or at the others.
  struct Served {
    int cut = 0;
    int others = 0;
  };

  Served SendToAll(int count) {
    Served served;
    for (int i = 0; i < count; ++i) {
      for (std::size_t host = 0; host < 6; ++host) {
        (IsCut(host) ? served.cut : served.others) += Send(host) ? 1 : 0;
      }
    }
    return served;
  }

  void SendUntilNoticed() {
    const Time began = BootClock::now();
    while (BootClock::now() - began < kNoticeTime) {
      for (std::size_t host = 0; host < 6; ++host) {
        Send(host);
      }
    }
  }
};

// Guards against callers of hosts that are cut off from all upstreams being
// served less than two thirds as often as the callers of other hosts.
void CheckServedDuringCut(CutMode mode) {
  CutFixture fixture;
  fixture.Cut(mode);
  fixture.SendUntilNoticed();
  const CutFixture::Served served = fixture.SendToAll(kRequestsPerHost);
  cr_assert_eq(served.others, 3 * kRequestsPerHost);
  cr_assert_geq(3 * served.cut, 2 * served.others, "%d of %d", served.cut,
                served.others);
}

// Guards against a host failing its callers for as long as its links to the
// upstreams hang.
Test(cut_hosts, callers_are_served_while_connections_hang) {
  CheckServedDuringCut(CutMode::kHang);
}

// Guards against a host failing its callers for as long as its connections to
// the upstreams are reset.
Test(cut_hosts, callers_are_served_while_connections_are_reset) {
  CheckServedDuringCut(CutMode::kReset);
}

}  // namespace
}  // namespace pathcleat
