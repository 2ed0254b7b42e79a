// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// A host answers "not run" only if the request has not run, in every order of
// events.

#include "raw_client.hpp"
#include "test_cluster.hpp"

#include <array>
#include <map>
#include <vector>

namespace pathcleat {
namespace {

using std::chrono::milliseconds;
using Kind = UpstreamAction::Kind;

// An event during the request, at a given time after it was sent.
enum class Event { kNothing, kHalfClose, kStop };

struct Order {
  bool repeatable = true;
  milliseconds deadline{0};
  /// Actions in the order in which requests arrive, at any upstream.
  std::vector<UpstreamAction> actions;
  Event event = Event::kNothing;
  milliseconds event_after{0};
};

void showValue(const Order& order, std::ostream& out) {
  out << (order.repeatable ? "GET" : "POST") << " within "
      << order.deadline.count() << " ms, event "
      << static_cast<int>(order.event) << " after " << order.event_after.count()
      << " ms; acts";
  for (const UpstreamAction& action : order.actions) {
    out << " " << static_cast<int>(action.kind) << "@" << action.delay.count();
  }
}

// Delays of events: short, around the time at which a host gives up on a silent
// upstream (1 s), and around the deadline.
rc::Gen<milliseconds> Delays() {
  return rc::gen::element(milliseconds(0), milliseconds(30), milliseconds(970),
                          milliseconds(1'050), milliseconds(1'900));
}

rc::Gen<UpstreamAction> Actions() {
  const auto kinds = rc::gen::weightedElement<Kind>({{2, Kind::kAnswer},
                                                     {2, Kind::kDisconnect},
                                                     {3, Kind::kReject},
                                                     {3, Kind::kNeverAnswer}});
  return rc::gen::map(rc::gen::pair(kinds, Delays()), [](const auto& drawn) {
    return UpstreamAction{drawn.first, drawn.second};
  });
}

Order DrawOrder() {
  Order order;
  order.repeatable = *rc::gen::weightedElement<bool>({{3, true}, {1, false}});
  order.deadline = *rc::gen::element(milliseconds(200), milliseconds(2'000),
                                     milliseconds(2'100));
  order.actions =
      *rc::gen::container<std::vector<UpstreamAction>>(3, Actions());
  order.event = *rc::gen::weightedElement<Event>(
      {{4, Event::kNothing}, {2, Event::kHalfClose}, {1, Event::kStop}});
  order.event_after = *Delays();
  return order;
}

std::string RequestText(const Order& order) {
  return std::string(order.repeatable ? "GET /s/read/item"
                                      : "POST /s/write/entry") +
         " HTTP/1.1\r\nHost: test.example\r\nX-Run-Id: r\r\n"
         "Connection: close\r\nContent-Length: 0\r\n" +
         platform::PlatformHeaderNames().deadline_ms + ": " +
         std::to_string(order.deadline.count()) + "\r\n\r\n";
}

// Runs one order of events in a new cluster.
// @return the status that the caller received.
int RunOrder(const Order& order) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {1};
  TestCluster cluster(plan);
  cluster.StartAll();
  std::size_t arrivals = 0;
  cluster.ForEachUpstream([&](UpstreamStandIn& upstream) {
    upstream.SetActionChooser([&] { return order.actions.at(arrivals++); });
  });
  RawClient caller(cluster.loop(), cluster.address(), cluster.CallerPort(0));
  caller.Send(RequestText(order));
  boost::asio::steady_timer timer(cluster.loop(), order.event_after);
  timer.async_wait([&](const boost::system::error_code& error) {
    if (!error && order.event == Event::kHalfClose) {
      caller.HalfClose();
    } else if (!error && order.event == Event::kStop) {
      cluster.host(0).Stop([] {});
    }
  });
  RC_ASSERT(cluster.Await([&] { return caller.IsClosed(); }));
  RC_ASSERT(cluster.Await(
      [&] { return cluster.host(0).state().in_flight_count == 0; }));
  timer.cancel();
  cluster.PollEventLoop();
  constexpr std::size_t kStatusOffset = 9;
  const int status = std::stoi(caller.received().substr(kStatusOffset));
  const bool says_not_run = status == http_status::kRequestTimeout ||
                            status == http_status::kMisdirected ||
                            status == http_status::kTooManyRequests ||
                            status == http_status::kUnavailable;
  RC_ASSERT(!(says_not_run && cluster.RunsOf("r") > 0));
  RC_ASSERT(says_not_run == caller.HasReceived("Pathcleat-Outcome: not-run"));
  if (!order.repeatable) {
    RC_ASSERT(cluster.RunsOf("r") <= 1);
  }
  return status;
}

// Promise: "not run" is true, in all orders of answers, closed connections,
// rejections and silence at upstreams, a half-close by the caller, its
// deadline, a planned stop and the failover timeout. Fails with a call of
// run_tracker_.OnNotRun in RequestHandler::OnFailure.
Test(promise, refusals_are_true_in_every_order_of_events) {
  std::map<int, int> statuses;
  cr_assert(Holds(
      "no promise after a run",
      [&statuses] { ++statuses[RunOrder(DrawOrder())]; }, 60));
  // The generated orders have led to all kinds of answers.
  cr_assert_gt(statuses[http_status::kOk], 0);
  cr_assert_gt(statuses[http_status::kUnavailable], 0);
  cr_assert_gt(statuses[http_status::kBadGateway], 0);
  cr_assert_gt(statuses[http_status::kGatewayTimeout], 0);
}

// Promise: "not run" is also true if the host gives up on a silent first
// upstream and sends the request to another upstream. Fails with a call of
// run_tracker_.OnNotRun in RequestHandler::OnFailoverTimeout.
Test(promise, refusals_are_true_after_giving_up_on_a_silent_upstream) {
  cr_assert(Holds(
      "no promise after patience",
      [] {
        Order order;
        order.deadline =
            *rc::gen::element(milliseconds(2'000), milliseconds(2'200));
        order.actions =
            *rc::gen::container<std::vector<UpstreamAction>>(3, Actions());
        order.actions[0] = {Kind::kAnswer, milliseconds(1'500)};
        RC_ASSERT(RunOrder(order) != http_status::kUnavailable);
      },
      12));
}

// The host gives up on a silent upstream, which still runs the request
// successfully, and all other upstreams reject it. Fails (503) with a call of
// run_tracker_.OnNotRun in RequestHandler::OnFailoverTimeout.
Test(promise, lookup_sent_to_a_silent_upstream_is_unknown) {
  Order order;
  // A long deadline: a host that is delayed by more than the time left after
  // the failover timeout does not retry.
  order.deadline = milliseconds(5'000);
  order.actions = {{Kind::kNeverAnswer, milliseconds(0)},
                   {Kind::kReject, milliseconds(0)},
                   {Kind::kReject, milliseconds(0)}};
  cr_assert(Holds(
      "502 after patience",
      [&order] { RC_ASSERT(RunOrder(order) == http_status::kBadGateway); }, 1));
}

}  // namespace
}  // namespace pathcleat
