// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// One request's way through entry hosts, with real sockets.

#include "raw_client.hpp"
#include "test_cluster.hpp"

#include <algorithm>
#include <set>

namespace pathcleat {
namespace {

std::string GetText(const std::string& run_id) {
  return "GET /s/read/item HTTP/1.1\r\nHost: test.example\r\nX-Run-Id: " +
         run_id + "\r\n\r\n";
}

Test(whole_path, get_and_post_answer_byte_for_byte) {
  TestCluster world;
  world.StartAll();
  const CallResult get = world.Get(0, "r1");
  cr_assert_eq(get.response.status, http_status::kOk);
  cr_assert(get.response.body == ExpectedAnswer("r1", "/s/read/item", ""));
  std::string body(100'000, '\0');
  for (std::size_t i = 0; i < body.size(); ++i) {
    body[i] = static_cast<char>(i % 251);
  }
  const CallResult post = world.Post(1, "r2", "", body);
  cr_assert_eq(post.response.status, http_status::kOk);
  cr_assert(post.response.body == ExpectedAnswer("r2", "/s/write/entry", body));
  cr_assert_str_eq(TestCluster::OutcomeHeader(post).c_str(), "answered");
}

Test(whole_path, chunked_body_arrives_whole) {
  TestCluster world;
  world.StartAll();
  RawClient client(world.loop(), world.address(), world.CallerPort(0));
  client.Send(
      "POST /s/write/entry HTTP/1.1\r\nHost: test.example\r\nX-Run-Id: c\r\n"
      "Transfer-Encoding: chunked\r\n\r\n");
  client.Send("3\r\nabc\r\n");
  client.Send("2\r\nde\r\n0\r\n\r\n");
  cr_assert(world.Await([&] { return client.HasReceived("end c"); }));
  cr_assert(client.HasReceived("\nabcde\n"));
}

// Promise: every caller receives the whole answer to its own request.
// Checked to fail with the tests of exchange_ taken out of Parse and
// ParseStep, which keep a session at one request at a time.
Test(promise, pipelined_requests_are_answered_in_the_order_asked) {
  TestCluster world;
  world.StartAll();
  world.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
  RawClient client(world.loop(), world.address(), world.CallerPort(0));
  client.Send(GetText("first") + GetText("second"));
  const auto answer = [&world](const std::string& run_id) {
    world.ForEachUpstream(
        [&run_id](UpstreamStandIn& u) { u.ReleaseAnswerOfRun(run_id); });
  };
  cr_assert(world.Await([&] {
    answer("second");
    answer("first");
    return client.HasReceived("end first") && client.HasReceived("end second");
  }));
  cr_assert_lt(client.received().find("run first"),
               client.received().find("run second"));
}

Test(whole_path, caller_that_leaves_early_frees_the_slot_and_harms_nobody) {
  TestCluster world;
  world.StartAll();
  world.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
  {
    RawClient client(world.loop(), world.address(), world.CallerPort(0));
    client.Send(GetText("left"));
    cr_assert(world.Await([&] { return world.InFlight() == 1; }));
  }
  // Cancellation reaches the upstream, which lets go.
  cr_assert(world.Await([&] { return world.InFlight() == 0; }));
  RawClient next(world.loop(), world.address(), world.CallerPort(0));
  next.Send(GetText("next"));
  cr_assert(world.Await([&] { return world.InFlight() == 1; }));
  world.ForEachUpstream(
      [](UpstreamStandIn& u) { u.ReleaseAnswerOfRun("next"); });
  cr_assert(world.Await([&] { return next.HasReceived("end next"); }));
  cr_assert(!next.HasReceived("left"));
}

// A submission whose caller leaves runs to its end: nobody could tell how far
// it had come.
Test(whole_path, submission_goes_on_when_its_caller_leaves) {
  TestCluster world;
  world.StartAll();
  world.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
  {
    RawClient client(world.loop(), world.address(), world.CallerPort(0));
    client.Send(
        "POST /s/write/entry HTTP/1.1\r\nHost: test.example\r\n"
        "X-Run-Id: stays\r\nContent-Length: 0\r\n\r\n");
    cr_assert(world.Await([&] { return world.InFlight() == 1; }));
  }
  cr_assert(
      world.Await([&] { return world.HasEvent(0, EventCode::kCallerLeft); }));
  cr_assert_eq(world.InFlight(), 1);
}

Test(whole_path, body_over_the_limit_is_refused_without_being_held) {
  TestCluster world;
  world.StartAll();
  RawClient announced(world.loop(), world.address(), world.CallerPort(0));
  announced.Send(
      "POST /s/write/x HTTP/1.1\r\nHost: test.example\r\n"
      "Content-Length: 209715200\r\n\r\n");
  announced.Send(std::string(1'000'000, 'x'));
  cr_assert(world.Await([&] { return announced.HasReceived("HTTP/1.1 413"); }));
  RawClient chunked(world.loop(), world.address(), world.CallerPort(0));
  chunked.Send(
      "POST /s/write/x HTTP/1.1\r\nHost: test.example\r\n"
      "Transfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 20; ++i) {
    chunked.Send("186A0\r\n" + std::string(100'000, 'x') + "\r\n");
  }
  cr_assert(world.Await([&] { return chunked.HasReceived("HTTP/1.1 413"); }));
  cr_assert_eq(world.Get(0, "after").response.status, http_status::kOk);
  cr_assert_eq(world.TotalRuns(), 1);
}

Test(whole_path, half_sent_requests_are_given_up) {
  TestClusterPlan plan;
  plan.caller_limits.read_timeout = std::chrono::milliseconds(300);
  TestCluster world(plan);
  world.StartAll();
  std::vector<std::unique_ptr<RawClient>> clients;
  constexpr int kHalfSent = 300;
  for (int i = 0; i < kHalfSent; ++i) {
    clients.push_back(std::make_unique<RawClient>(world.loop(), world.address(),
                                                  world.CallerPort(0)));
    clients.back()->Send("GET /s/read/item HTTP/1.1\r\nHo");
  }
  cr_assert(world.Await([&] {
    return std::all_of(clients.begin(), clients.end(), [](const auto& c) {
      return c->HasReceived("HTTP/1.1 408");
    });
  }));
  cr_assert_eq(world.Get(0, "after").response.status, http_status::kOk);
}

Test(whole_path, bad_input_gets_its_own_status) {
  TestCluster world;
  world.StartAll();
  const auto status = [&](const std::string& bytes, const char* expected) {
    RawClient client(world.loop(), world.address(), world.CallerPort(0));
    client.Send(bytes);
    return world.Await([&] { return client.HasReceived(expected); });
  };
  cr_assert(status("not http at all\r\n\r\n", "HTTP/1.1 400"));
  cr_assert(status("GET /s/read/item HTTP/1.1\r\nA: " +
                       std::string(40'000, 'x') + "\r\n\r\n",
                   "HTTP/1.1 431"));
  cr_assert(status("GET /elsewhere HTTP/1.1\r\nHost: test.example\r\n\r\n",
                   "HTTP/1.1 404"));
  cr_assert(status("GET /s/read/item HTTP/1.1\r\nHost: other\r\n\r\n",
                   "HTTP/1.1 404"));
}

// Found from outside: an unknown transfer coding was answered 404 and its
// body read as a next request. Whatever leaves a body's end in doubt must be
// rejected and end the connection, so that nothing behind it is taken for a
// request.
Test(whole_path, doubtful_framing_is_rejected_and_ends_the_connection) {
  struct Doubt {
    const char* name;
    std::string head;
  };
  const std::vector<Doubt> doubts = {
      {"unknown coding", "Transfer-Encoding: xchunked\r\n"},
      {"coding and length",
       "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n"},
      {"two codings",
       "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n"},
      {"list of codings", "Transfer-Encoding: gzip, chunked\r\n"},
      {"two lengths", "Content-Length: 4\r\nContent-Length: 5\r\n"},
      {"list of lengths", "Content-Length: 4, 5\r\n"},
      {"length that is no number", "Content-Length: 4x\r\n"},
      {"negative length", "Content-Length: -4\r\n"},
      {"space before the colon", "Content-Length : 4\r\n"},
      {"bare line feed", "X: y\nContent-Length: 4\r\n"},
      {"zero byte", std::string("X: a\0b\r\n", 9)},
  };
  TestCluster world;
  world.StartAll();
  for (const Doubt& doubt : doubts) {
    RawClient client(world.loop(), world.address(), world.CallerPort(0));
    client.Send("POST /s/write/x HTTP/1.1\r\nHost: test.example\r\n" +
                doubt.head + "\r\n" + GetText("smuggled"));
    cr_assert(world.Await([&] { return client.IsClosed(); }), "%s: %s",
              doubt.name, client.received().c_str());
    cr_assert(client.HasReceived("HTTP/1.1 400"), "%s: %s", doubt.name,
              client.received().c_str());
  }
  cr_assert_eq(world.RunsOf("smuggled"), 0);
}

Test(whole_path, doubtful_chunks_are_rejected) {
  TestCluster world;
  world.StartAll();
  for (const std::string chunk :
       {"zz\r\nabc\r\n", "fffffffffffffffff\r\nabc\r\n", "-1\r\nabc\r\n",
        "3\r\nabcd\r\n0\r\n\r\n"}) {
    RawClient client(world.loop(), world.address(), world.CallerPort(0));
    client.Send(
        "POST /s/write/x HTTP/1.1\r\nHost: test.example\r\n"
        "Transfer-Encoding: chunked\r\n\r\n" +
        chunk);
    cr_assert(world.Await([&] { return client.HasReceived("HTTP/1.1 4"); }),
              "%s", chunk.c_str());
  }
  cr_assert_eq(world.TotalRuns(), 0);
}

Test(whole_path, locate_names_living_hosts_near_ones_first) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {2, 1};
  TestCluster world(plan);
  world.StartAll();
  const auto near = world.Locate(0, "?region=region-0&failure_domain=domain-0");
  cr_assert_eq(near.response.status, http_status::kOk);
  const std::string& body = near.response.body;
  const auto name = [&world](std::size_t host) {
    return world.address() + ":" + std::to_string(world.CallerPort(host));
  };
  cr_assert_neq(body.find(name(0)), std::string::npos);
  cr_assert_neq(body.find(name(1)), std::string::npos);
  cr_assert_eq(body.find(name(2)), std::string::npos);
  // Of the region with one host, that host and others behind it.
  const auto far = world.Locate(0, "?region=region-1&failure_domain=domain-1");
  cr_assert_lt(far.response.body.find(name(2)),
               far.response.body.find(name(0)));
}

Test(whole_path, why_tells_the_steps_of_a_request) {
  TestCluster world;
  world.StartAll();
  const CallResult get = world.Get(0, "r1");
  const auto id = FindHeader(get.response.headers, "Pathcleat-Request-Id");
  const CallResult why = world.RunCommand(0, "why " + id.value_or(""));
  const std::string& text = why.response.body;
  cr_assert_neq(text.find("route=read service=s"), std::string::npos);
  cr_assert_neq(text.find("request-sent upstream=upstream-0-"),
                std::string::npos);
  cr_assert_neq(text.find("request-answered status=200 outcome=answered"),
                std::string::npos);
}

// All hosts rank upstreams alike, so that a key is served where it was.
Test(whole_path, requests_of_one_key_go_to_one_upstream_from_all_hosts) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {3};
  plan.upstreams_in_domain = 4;
  TestCluster world(plan);
  world.StartAll();
  for (std::size_t i = 0; i < 12; ++i) {
    HttpRequest request = world.GetRequest("k" + std::to_string(i));
    request.headers.push_back({"Pathcleat-Affinity-Key", "object-7"});
    const std::string endpoint =
        world.address() + ":" + std::to_string(world.CallerPort(i % 3));
    cr_assert_eq(world.SendAndWait(endpoint, request).response.status,
                 http_status::kOk);
  }
  std::size_t used = 0;
  world.ForEachUpstream([&used](UpstreamStandIn& upstream) {
    used += upstream.ledger().runs > 0 ? 1U : 0U;
  });
  cr_assert_eq(used, 1U);
}

}  // namespace
}  // namespace pathcleat
