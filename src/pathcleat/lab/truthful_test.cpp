// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// What a refusal says is true, in whatever order things happen.

#include "raw_client.hpp"
#include "test_cluster.hpp"

#include <array>
#include <map>
#include <vector>

namespace pathcleat {
namespace {

using std::chrono::milliseconds;
using Kind = UpstreamAction::Kind;

// What befalls the request besides, so long after it was taken.
enum class Event { kNothing, kHalfClose, kStop };

struct Order {
  bool repeatable = true;
  milliseconds deadline{0};
  std::vector<UpstreamAction> acts;  ///< by arrival, at whichever upstream
  Event event = Event::kNothing;
  milliseconds event_after{0};
};

void showValue(const Order& order, std::ostream& out) {
  out << (order.repeatable ? "GET" : "POST") << " within "
      << order.deadline.count() << " ms, event "
      << static_cast<int>(order.event) << " after " << order.event_after.count()
      << " ms; acts";
  for (const UpstreamAction& act : order.acts) {
    out << " " << static_cast<int>(act.kind) << "@" << act.delay.count();
  }
}

// At first hand, around the time at which a silent upstream is left (1 s),
// and around the deadline.
rc::Gen<milliseconds> Delays() {
  return rc::gen::element(milliseconds(0), milliseconds(30), milliseconds(970),
                          milliseconds(1'050), milliseconds(1'900));
}

rc::Gen<UpstreamAction> Acts() {
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
  order.acts = *rc::gen::container<std::vector<UpstreamAction>>(3, Acts());
  order.event = *rc::gen::weightedElement<Event>(
      {{4, Event::kNothing}, {2, Event::kHalfClose}, {1, Event::kStop}});
  order.event_after = *Delays();
  return order;
}

std::string TextOf(const Order& order) {
  return std::string(order.repeatable ? "GET /s/read/item"
                                      : "POST /s/write/entry") +
         " HTTP/1.1\r\nHost: test.example\r\nX-Run-Id: r\r\n"
         "Connection: close\r\nContent-Length: 0\r\n" +
         platform::PlatformHeaderNames().deadline_ms + ": " +
         std::to_string(order.deadline.count()) + "\r\n\r\n";
}

// Plays one order in a world of its own.
// @return the status that the caller got.
int Play(const Order& order) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {1};
  TestCluster world(plan);
  world.StartAll();
  std::size_t arrivals = 0;
  world.ForEachUpstream([&](UpstreamStandIn& upstream) {
    upstream.SetActionChooser([&] { return order.acts.at(arrivals++); });
  });
  RawClient caller(world.loop(), world.address(), world.CallerPort(0));
  caller.Send(TextOf(order));
  boost::asio::steady_timer timer(world.loop(), order.event_after);
  timer.async_wait([&](const boost::system::error_code& error) {
    if (!error && order.event == Event::kHalfClose) {
      caller.HalfClose();
    } else if (!error && order.event == Event::kStop) {
      world.host(0).Stop([] {});
    }
  });
  RC_ASSERT(world.Await([&] { return caller.IsClosed(); }));
  RC_ASSERT(
      world.Await([&] { return world.host(0).state().in_flight_count == 0; }));
  timer.cancel();
  world.PollEventLoop();
  constexpr std::size_t kStatusAt = 9;
  const int status = std::stoi(caller.received().substr(kStatusAt));
  const bool promises = status == http_status::kRequestTimeout ||
                        status == http_status::kMisdirected ||
                        status == http_status::kTooManyRequests ||
                        status == http_status::kUnavailable;
  RC_ASSERT(!(promises && world.RunsOf("r") > 0));
  RC_ASSERT(promises == caller.HasReceived("Pathcleat-Outcome: not-run"));
  if (!order.repeatable) {
    RC_ASSERT(world.RunsOf("r") <= 1);
  }
  return status;
}

// Promise: "not run" is true, over orders of answers, breaks, refusals and
// silence at upstreams, the caller's end, its deadline, a planned stop and
// patience. Checked to fail with runs_.OnNotRun called in OnFailure.
Test(promise, refusals_are_true_in_whatever_order_things_happen) {
  std::map<int, int> statuses;
  cr_assert(Holds(
      "no promise after a run", [&statuses] { ++statuses[Play(DrawOrder())]; },
      60));
  // All kinds of answers were reached.
  cr_assert_gt(statuses[http_status::kOk], 0);
  cr_assert_gt(statuses[http_status::kUnavailable], 0);
  cr_assert_gt(statuses[http_status::kBadGateway], 0);
  cr_assert_gt(statuses[http_status::kGatewayTimeout], 0);
}

// The same where the first upstream is silent and left for another. Checked to
// fail with runs_.OnNotRun called in OnPatienceOver.
Test(promise, refusals_are_true_after_a_silent_upstream_was_left) {
  cr_assert(Holds(
      "no promise after patience",
      [] {
        Order order;
        order.deadline =
            *rc::gen::element(milliseconds(2'000), milliseconds(2'200));
        order.acts =
            *rc::gen::container<std::vector<UpstreamAction>>(3, Acts());
        order.acts[0] = {Kind::kAnswer, milliseconds(1'500)};
        RC_ASSERT(Play(order) != http_status::kUnavailable);
      },
      12));
}

// The order seen from outside: a silent upstream is left, runs the request to
// a good end, and nobody else takes it. Checked to fail, with 503, with
// runs_.OnNotRun called in OnPatienceOver.
Test(promise, lookup_that_left_a_silent_upstream_is_unknown) {
  Order order;
  // A host that is late by more than what is left after its patience stays.
  order.deadline = milliseconds(5'000);
  order.acts = {{Kind::kNeverAnswer, milliseconds(0)},
                {Kind::kReject, milliseconds(0)},
                {Kind::kReject, milliseconds(0)}};
  cr_assert(Holds(
      "502 after patience",
      [&order] { RC_ASSERT(Play(order) == http_status::kBadGateway); }, 1));
}

}  // namespace
}  // namespace pathcleat
