// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// What a host does first after a long turn of its event loop.

#include <boost/asio/post.hpp>
#include <string>
#include <thread>

#include "pathcleat/http/http_codec.hpp"
#include "raw_client.hpp"
#include "test_cluster.hpp"

namespace pathcleat {
namespace {

constexpr std::chrono::milliseconds kLongTurn{1'200};
// Longer than the pause of a watch after a change.
constexpr Duration kWatchPause{600'000};

TestClusterPlan OneHostPlan() {
  TestClusterPlan plan;
  plan.hosts_in_domain = {1};
  return plan;
}

void WaitFor(TestCluster& cluster, Duration duration) {
  const Time end = BootClock::now() + duration;
  cr_assert(cluster.Await([end] { return BootClock::now() >= end; }));
}

HttpRequest RequestAbout(const TestCluster& cluster,
                         const std::string& run_id,
                         int object) {
  HttpRequest request = cluster.GetRequest(run_id);
  request.headers.push_back(
      {platform::PlatformHeaderNames().affinity_key, std::to_string(object)});
  return request;
}

// Number of an object whose requests go to the first upstream, over a
// connection that is open from then on.
int FindObjectOfFirstUpstream(TestCluster& cluster) {
  const auto& arrivals = cluster.upstream(0).ledger().arrivals;
  for (int object = 0;; ++object) {
    const std::size_t before = arrivals.size();
    const std::string id = "find-" + std::to_string(object);
    cluster.SendToHost(0, RequestAbout(cluster, id, object));
    cluster.SendToHost(0, RequestAbout(cluster, id + "-again", object));
    if (arrivals.size() == before + 2) {
      return object;
    }
  }
}

// Guards against a request at an upstream whose leaving lay unread at the host,
// beside the request, while the event loop was busy for 1.2 s: the host chose
// by the list as it had been before.
Test(promise, list_that_lies_ready_is_read_before_requests) {
  TestCluster cluster(OneHostPlan());
  cluster.StartAll();
  const int object = FindObjectOfFirstUpstream(cluster);
  RawClient caller(cluster.loop(), cluster.address(), cluster.CallerPort(0));
  WaitFor(cluster, kWatchPause);
  const std::size_t arrivals = cluster.upstream(0).ledger().arrivals.size();
  boost::asio::post(cluster.loop(), [&] {
    caller.Send(SerializeHead(RequestAbout(cluster, "late", object)));
    UpstreamInfo leaving = cluster.upstream_info(0);
    leaving.leaving = true;
    cluster.platform().PutUpstream(leaving);
    boost::asio::post(cluster.loop(),
                      [] { std::this_thread::sleep_for(kLongTurn); });
  });
  cr_assert(
      cluster.Await([&] { return caller.HasReceived("Pathcleat-Outcome"); }));
  cr_assert(cluster.HasEvent(0, EventCode::kUpstreamLeaving));
  cr_assert_eq(cluster.upstream(0).ledger().arrivals.size(), arrivals);
}

}  // namespace
}  // namespace pathcleat
