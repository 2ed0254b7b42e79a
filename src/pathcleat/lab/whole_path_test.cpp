// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// The path of a request through entry hosts, with real sockets.

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
  TestCluster cluster;
  cluster.StartAll();
  const CallResult get = cluster.Get(0, "r1");
  cr_assert_eq(get.response.status, http_status::kOk);
  cr_assert(get.response.body.str() ==
            ExpectedAnswer("r1", "/s/read/item", ""));
  std::string body(100'000, '\0');
  for (std::size_t i = 0; i < body.size(); ++i) {
    body[i] = static_cast<char>(i % 251);
  }
  const CallResult post = cluster.Post(1, "r2", "", body);
  cr_assert_eq(post.response.status, http_status::kOk);
  cr_assert(post.response.body.str() ==
            ExpectedAnswer("r2", "/s/write/entry", body));
  cr_assert_str_eq(TestCluster::OutcomeHeader(post).c_str(), "answered");
}

Test(whole_path, chunked_body_arrives_whole) {
  TestCluster cluster;
  cluster.StartAll();
  RawClient client(cluster.loop(), cluster.address(), cluster.CallerPort(0));
  client.Send(
      "POST /s/write/entry HTTP/1.1\r\nHost: test.example\r\nX-Run-Id: c\r\n"
      "Transfer-Encoding: chunked\r\n\r\n");
  client.Send("3\r\nabc\r\n");
  client.Send("2\r\nde\r\n0\r\n\r\n");
  cr_assert(cluster.Await([&] { return client.HasReceived("end c"); }));
  cr_assert(client.HasReceived("\nabcde\n"));
}

// Promise: every caller receives the whole answer to its own request.
// Fails without the checks of exchange_ in ServerSession::Parse and ParseStep,
// which limit a session to one request at a time.
Test(promise, pipelined_requests_are_answered_in_the_order_asked) {
  TestCluster cluster;
  cluster.StartAll();
  cluster.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
  RawClient client(cluster.loop(), cluster.address(), cluster.CallerPort(0));
  client.Send(GetText("first") + GetText("second"));
  const auto answer = [&cluster](const std::string& run_id) {
    cluster.ForEachUpstream(
        [&run_id](UpstreamStandIn& u) { u.ReleaseAnswerOfRun(run_id); });
  };
  cr_assert(cluster.Await([&] {
    answer("second");
    answer("first");
    return client.HasReceived("end first") && client.HasReceived("end second");
  }));
  cr_assert_lt(client.received().find("run first"),
               client.received().find("run second"));
}

Test(whole_path, caller_that_leaves_early_frees_the_slot_and_affects_no_other) {
  TestCluster cluster;
  cluster.StartAll();
  cluster.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
  {
    RawClient client(cluster.loop(), cluster.address(), cluster.CallerPort(0));
    client.Send(GetText("left"));
    cr_assert(cluster.Await([&] { return cluster.InFlight() == 1; }));
  }
  // The cancellation reaches the upstream, which releases the slot.
  cr_assert(cluster.Await([&] { return cluster.InFlight() == 0; }));
  RawClient next(cluster.loop(), cluster.address(), cluster.CallerPort(0));
  next.Send(GetText("next"));
  cr_assert(cluster.Await([&] { return cluster.InFlight() == 1; }));
  cluster.ForEachUpstream(
      [](UpstreamStandIn& u) { u.ReleaseAnswerOfRun("next"); });
  cr_assert(cluster.Await([&] { return next.HasReceived("end next"); }));
  cr_assert(!next.HasReceived("left"));
}

// A host does not cancel a submission when its caller disconnects, because it
// would then be unknown how far the submission had run.
Test(whole_path, submission_goes_on_when_its_caller_leaves) {
  TestCluster cluster;
  cluster.StartAll();
  cluster.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
  {
    RawClient client(cluster.loop(), cluster.address(), cluster.CallerPort(0));
    client.Send(
        "POST /s/write/entry HTTP/1.1\r\nHost: test.example\r\n"
        "X-Run-Id: stays\r\nContent-Length: 0\r\n\r\n");
    cr_assert(cluster.Await([&] { return cluster.InFlight() == 1; }));
  }
  cr_assert(cluster.Await(
      [&] { return cluster.HasEvent(0, EventCode::kCallerLeft); }));
  cr_assert_eq(cluster.InFlight(), 1);
}

Test(whole_path, body_over_the_limit_is_refused_without_being_buffered) {
  TestCluster cluster;
  cluster.StartAll();
  RawClient announced(cluster.loop(), cluster.address(), cluster.CallerPort(0));
  announced.Send(
      "POST /s/write/x HTTP/1.1\r\nHost: test.example\r\n"
      "Content-Length: 209715200\r\n\r\n");
  announced.Send(std::string(1'000'000, 'x'));
  cr_assert(
      cluster.Await([&] { return announced.HasReceived("HTTP/1.1 413"); }));
  RawClient chunked(cluster.loop(), cluster.address(), cluster.CallerPort(0));
  chunked.Send(
      "POST /s/write/x HTTP/1.1\r\nHost: test.example\r\n"
      "Transfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 20; ++i) {
    chunked.Send("186A0\r\n" + std::string(100'000, 'x') + "\r\n");
  }
  cr_assert(cluster.Await([&] { return chunked.HasReceived("HTTP/1.1 413"); }));
  cr_assert_eq(cluster.Get(0, "after").response.status, http_status::kOk);
  cr_assert_eq(cluster.TotalRuns(), 1);
}

Test(whole_path, half_sent_requests_time_out) {
  TestClusterPlan plan;
  plan.caller_limits.read_timeout = std::chrono::milliseconds(300);
  TestCluster cluster(plan);
  cluster.StartAll();
  std::vector<std::unique_ptr<RawClient>> clients;
  constexpr int kHalfSent = 300;
  for (int i = 0; i < kHalfSent; ++i) {
    clients.push_back(std::make_unique<RawClient>(
        cluster.loop(), cluster.address(), cluster.CallerPort(0)));
    clients.back()->Send("GET /s/read/item HTTP/1.1\r\nHo");
  }
  cr_assert(cluster.Await([&] {
    return std::all_of(clients.begin(), clients.end(), [](const auto& c) {
      return c->HasReceived("HTTP/1.1 408");
    });
  }));
  cr_assert_eq(cluster.Get(0, "after").response.status, http_status::kOk);
}

Test(whole_path, bad_input_gets_its_own_status) {
  TestCluster cluster;
  cluster.StartAll();
  const auto has_status = [&](const std::string& bytes, const char* expected) {
    RawClient client(cluster.loop(), cluster.address(), cluster.CallerPort(0));
    client.Send(bytes);
    return cluster.Await([&] { return client.HasReceived(expected); });
  };
  cr_assert(has_status("not http at all\r\n\r\n", "HTTP/1.1 400"));
  cr_assert(has_status("GET /s/read/item HTTP/1.1\r\nA: " +
                           std::string(40'000, 'x') + "\r\n\r\n",
                       "HTTP/1.1 431"));
  cr_assert(has_status("GET /elsewhere HTTP/1.1\r\nHost: test.example\r\n\r\n",
                       "HTTP/1.1 404"));
  cr_assert(has_status("GET /s/read/item HTTP/1.1\r\nHost: other\r\n\r\n",
                       "HTTP/1.1 404"));
}

// Guards against request smuggling: a request with an unknown transfer coding
// was answered with 404 and its body read as the next request. A request whose
// body has no certain end must be rejected and its connection closed, so that
// nothing behind it is read as a request.
Test(whole_path, ambiguous_framing_is_rejected_and_closes_the_connection) {
  struct AmbiguousRequest {
    const char* name;
    std::string head;
  };
  const std::vector<AmbiguousRequest> ambiguous_requests = {
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
  TestCluster cluster;
  cluster.StartAll();
  for (const AmbiguousRequest& ambiguous : ambiguous_requests) {
    RawClient client(cluster.loop(), cluster.address(), cluster.CallerPort(0));
    client.Send("POST /s/write/x HTTP/1.1\r\nHost: test.example\r\n" +
                ambiguous.head + "\r\n" + GetText("smuggled"));
    cr_assert(cluster.Await([&] { return client.IsClosed(); }), "%s: %s",
              ambiguous.name, client.received().c_str());
    cr_assert(client.HasReceived("HTTP/1.1 400"), "%s: %s", ambiguous.name,
              client.received().c_str());
  }
  cr_assert_eq(cluster.RunsOf("smuggled"), 0);
}

Test(whole_path, invalid_chunks_are_rejected) {
  TestCluster cluster;
  cluster.StartAll();
  for (const std::string chunk :
       {"zz\r\nabc\r\n", "fffffffffffffffff\r\nabc\r\n", "-1\r\nabc\r\n",
        "3\r\nabcd\r\n0\r\n\r\n"}) {
    RawClient client(cluster.loop(), cluster.address(), cluster.CallerPort(0));
    client.Send(
        "POST /s/write/x HTTP/1.1\r\nHost: test.example\r\n"
        "Transfer-Encoding: chunked\r\n\r\n" +
        chunk);
    cr_assert(cluster.Await([&] { return client.HasReceived("HTTP/1.1 4"); }),
              "%s", chunk.c_str());
  }
  cr_assert_eq(cluster.TotalRuns(), 0);
}

Test(whole_path, locate_lists_live_hosts_nearest_first) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {2, 1};
  TestCluster cluster(plan);
  cluster.StartAll();
  const auto near =
      cluster.Locate(0, "?region=region-0&failure_domain=domain-0");
  cr_assert_eq(near.response.status, http_status::kOk);
  const std::string& body = near.response.body.str();
  const auto name = [&cluster](std::size_t host) {
    return cluster.address() + ":" + std::to_string(cluster.CallerPort(host));
  };
  cr_assert_neq(body.find(name(0)), std::string::npos);
  cr_assert_neq(body.find(name(1)), std::string::npos);
  cr_assert_eq(body.find(name(2)), std::string::npos);
  // A region with one host: that host comes first, hosts of other regions
  // follow.
  const auto far =
      cluster.Locate(0, "?region=region-1&failure_domain=domain-1");
  cr_assert_lt(far.response.body.str().find(name(2)),
               far.response.body.str().find(name(0)));
}

Test(whole_path, why_shows_the_steps_of_a_request) {
  TestCluster cluster;
  cluster.StartAll();
  const CallResult get = cluster.Get(0, "r1");
  const auto id = FindHeader(get.response.headers, "Pathcleat-Request-Id");
  const CallResult why = cluster.RunCommand(0, "why " + id.value_or(""));
  const std::string& text = why.response.body.str();
  cr_assert_neq(text.find("route=read service=s"), std::string::npos);
  cr_assert_neq(text.find("request-sent upstream=upstream-0-"),
                std::string::npos);
  cr_assert_neq(text.find("request-answered status=200 outcome=answered"),
                std::string::npos);
}

// All hosts rank the upstreams for a key in the same order, so that an upstream
// that has the key cached serves it again.
Test(whole_path, requests_of_one_key_go_to_one_upstream_from_all_hosts) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {3};
  plan.upstreams_in_domain = 4;
  TestCluster cluster(plan);
  cluster.StartAll();
  for (std::size_t i = 0; i < 12; ++i) {
    HttpRequest request = cluster.GetRequest("k" + std::to_string(i));
    request.headers.push_back({"Pathcleat-Affinity-Key", "object-7"});
    const std::string endpoint =
        cluster.address() + ":" + std::to_string(cluster.CallerPort(i % 3));
    cr_assert_eq(cluster.SendAndWait(endpoint, request).response.status,
                 http_status::kOk);
  }
  std::size_t used = 0;
  cluster.ForEachUpstream([&used](UpstreamStandIn& upstream) {
    used += upstream.ledger().runs > 0 ? 1U : 0U;
  });
  cr_assert_eq(used, 1U);
}

}  // namespace
}  // namespace pathcleat
