// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// What must hold when upstreams, hosts and the platform fail.

#include "test_cluster.hpp"

#include <algorithm>

#include "pathcleat/core/hash.hpp"

namespace pathcleat {
namespace {

void SpoilAll(TestCluster& world, AnswerCorruption how) {
  world.ForEachUpstream([how](UpstreamStandIn& u) { u.CorruptAnswers(how); });
}

// Promise: a submission that may not be repeated runs at most once.
// Checked to fail with the test of route_->repeatable in OnFailure taken out.
Test(promise, broken_submission_is_unknown_and_never_sent_again) {
  TestCluster world;
  world.StartAll();
  SpoilAll(world, AnswerCorruption::kNoAnswer);
  const CallResult post = world.Post(0, "r1");
  cr_assert_eq(post.response.status, http_status::kBadGateway);
  cr_assert_str_eq(TestCluster::OutcomeHeader(post).c_str(), "unknown");
  cr_assert_eq(world.RunsOf("r1"), 1);
}

// Promise: "not run" is true. A request that may be repeated and broke off at
// every upstream has run, so it is not told otherwise. Checked to fail with
// runs_.OnNotRun called in OnFailure.
Test(promise, broken_lookup_that_no_upstream_answers_is_unknown) {
  TestCluster world;
  world.StartAll();
  SpoilAll(world, AnswerCorruption::kNoAnswer);
  const CallResult first = world.Get(0, "r0");
  cr_assert_eq(first.response.status, http_status::kBadGateway);
  cr_assert_str_eq(TestCluster::OutcomeHeader(first).c_str(), "unknown");
  // Later ones may find no upstream left to try: only those have not run.
  for (int i = 1; i < 6; ++i) {
    const std::string id = "r" + std::to_string(i);
    const CallResult get = world.Get(0, id);
    const bool told_not_run = get.response.status == http_status::kUnavailable;
    cr_assert_eq(told_not_run, world.RunsOf(id) == 0, "%s", id.c_str());
  }
}

// The same where the second upstream turns it away: the first one has run it.
Test(promise, lookup_that_ran_once_is_unknown_though_others_turn_it_away) {
  TestClusterPlan plan;
  plan.upstreams_in_domain = 2;
  TestCluster world(plan);
  world.StartAll();
  world.upstream(0).CorruptAnswers(AnswerCorruption::kNoAnswer);
  world.upstream(1).RejectRequests(true);
  for (int i = 0; i < 6; ++i) {
    const std::string id = "r" + std::to_string(i);
    const CallResult get = world.Get(0, id);
    const bool told_not_run = get.response.status == http_status::kUnavailable;
    cr_assert_eq(told_not_run, world.RunsOf(id) == 0, "%s", id.c_str());
  }
}

Test(faults, broken_lookup_is_tried_at_another_upstream) {
  TestCluster world;
  world.StartAll();
  world.upstream(0).CorruptAnswers(AnswerCorruption::kNoAnswer);
  for (int i = 0; i < 8; ++i) {
    cr_assert_eq(world.Get(0, "r" + std::to_string(i)).response.status,
                 http_status::kOk);
  }
}

// Promise: never part of another's answer. Checked to fail without Matcher.
Test(promise, answer_of_another_request_is_never_passed_on) {
  TestCluster world;
  world.StartAll();
  SpoilAll(world, AnswerCorruption::kWrongRequestId);
  const CallResult post = world.Post(0, "r1");
  cr_assert_neq(post.response.status, http_status::kOk);
  cr_assert_eq(post.response.body.find("run r1"), std::string::npos);
}

// Checked to fail without IsWhole.
Test(promise, success_without_signature_is_never_passed_on) {
  TestCluster world;
  world.StartAll();
  SpoilAll(world, AnswerCorruption::kNoSignature);
  cr_assert_eq(world.Post(0, "r1").response.status, http_status::kBadGateway);
  cr_assert_eq(world.RunsOf("r1"), 1);
}

Test(faults, submission_that_an_upstream_did_not_run_goes_to_another) {
  TestCluster world;
  world.StartAll();
  world.upstream(0).RejectRequests(true);
  for (int i = 0; i < 6; ++i) {
    const std::string id = "r" + std::to_string(i);
    cr_assert_eq(world.Post(0, id).response.status, http_status::kOk);
    cr_assert_eq(world.RunsOf(id), 1);
  }
}

// Promise: told "not run" means not run.
Test(promise, refusal_means_that_nothing_ran_and_says_when_to_come_back) {
  TestCluster world;
  world.StartAll();
  world.ForEachUpstream([](UpstreamStandIn& u) { u.RejectRequests(true); });
  const CallResult post = world.Post(0, "r1");
  cr_assert_eq(post.response.status, http_status::kUnavailable);
  cr_assert_str_eq(TestCluster::OutcomeHeader(post).c_str(), "not-run");
  cr_assert(FindHeader(post.response.headers, "Retry-After").has_value());
  cr_assert_eq(world.RunsOf("r1"), 0);
}

Test(faults, address_taken_over_by_another_upstream_runs_nothing) {
  TestCluster world;
  world.StartAll();
  // The list still names the one that is gone, at the other's address.
  UpstreamInfo gone = world.upstream_info(0);
  gone.id = "upstream-gone";
  world.platform().PutUpstream(gone);
  world.platform().RemoveUpstream(world.upstream_info(0).id);
  world.platform().RemoveUpstream(world.upstream_info(1).id);
  cr_assert(
      world.Await([&] { return world.host(0).state().upstreams.size() == 1; }));
  const CallResult post = world.Post(0, "r1");
  cr_assert_eq(post.response.status, http_status::kUnavailable);
  cr_assert_eq(world.RunsOf("r1"), 0);
}

Test(faults, crashed_upstream_is_left_for_a_living_one) {
  TestCluster world;
  world.StartAll();
  world.upstream(0).Crash();
  for (int i = 0; i < 6; ++i) {
    const std::string id = "r" + std::to_string(i);
    cr_assert_eq(world.Post(0, id).response.status, http_status::kOk);
  }
}

Test(faults, route_timeout_is_answered_at_once) {
  TestClusterPlan plan;
  plan.timeout = Duration(300'000);
  TestCluster world(plan);
  world.StartAll();
  world.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
  const CallResult post = world.Post(0, "r1");
  cr_assert_eq(post.response.status, http_status::kGatewayTimeout);
  cr_assert_str_eq(TestCluster::OutcomeHeader(post).c_str(), "unknown");
}

// Promise: a leaving upstream gets nothing new.
// Checked to fail with info.leaving taken out of UpstreamTable::IsOpen.
Test(promise, leaving_and_drained_upstreams_get_nothing_new) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {1, 1};
  TestCluster world(plan);
  world.StartAll();
  UpstreamInfo leaving = world.upstream_info(0);
  leaving.leaving = true;
  world.platform().PutUpstream(leaving);
  cr_assert(world.Await(
      [&] { return world.HasEvent(0, EventCode::kUpstreamLeaving); }));
  cr_assert_eq(
      world.RunCommand(0, "drain upstream upstream-0-1").response.status,
      http_status::kOk);
  for (int i = 0; i < 10; ++i) {
    cr_assert_eq(world.Get(0, "d" + std::to_string(i)).response.status,
                 http_status::kOk);
  }
  cr_assert_eq(world.upstream(0).ledger().runs, 0);
  cr_assert_eq(world.upstream(1).ledger().runs, 0);
  world.platform().SetDomainDrained("domain-1", true);
  cr_assert(world.Await(
      [&] { return world.HasEvent(0, EventCode::kDomainDrained); }));
  const int before = world.TotalRuns();
  cr_assert_eq(world.Post(0, "nowhere").response.status,
               http_status::kUnavailable);
  cr_assert_eq(world.TotalRuns(), before);
  world.platform().SetDomainDrained("domain-1", false);
  cr_assert(world.Await([&] {
    return world.host(0).state().upstreams.drained_domains().empty();
  }));
  cr_assert_eq(world.Post(0, "again").response.status, http_status::kOk);
}

// Promise: an accepted configuration never reverts.
// Checked to fail with the comparison in RouteTable::Adopt taken out.
Test(promise, older_configuration_is_never_taken) {
  TestCluster world;
  world.StartAll();
  RoutingConfig newer = world.config();
  newer.version = 7;
  newer.routes.pop_back();
  world.platform().PutConfig(newer);
  cr_assert(
      world.Await([&] { return world.host(0).state().routes.version() == 7; }));
  cr_assert_eq(world.Post(0, "r1").response.status, http_status::kNotFound);
  world.platform().PutConfig(world.config());  // version 1 again
  world.platform().ForgetHistory();
  cr_assert_eq(world.Get(0, "r2").response.status, http_status::kOk);
  world.PollEventLoop();
  cr_assert_eq(world.host(0).state().routes.version(), 7U);
}

// Promise: a submission with a key runs at most once, wherever it is repeated.
Test(promise, repeats_at_other_hosts_run_a_key_once) {
  TestCluster world;
  world.StartAll();
  const CallResult first = world.Post(0, "k.1", "key-1");
  const CallResult second = world.Post(1, "k.2", "key-1");
  cr_assert_eq(first.response.status, http_status::kOk);
  cr_assert_eq(world.TotalRuns(), 1);
  cr_assert(second.response.status == http_status::kConflict ||
            second.response.body == first.response.body);
  cr_assert(world.Await([&] {
    const CallResult again = world.Post(1, "k.3", "key-1");
    return again.response.status == http_status::kOk &&
           again.response.body == first.response.body;
  }));
  cr_assert_eq(world.TotalRuns(), 1);
  cr_assert_eq(world.Post(1, "k.4", "key-1", "other").response.status,
               http_status::kUnprocessable);
}

Test(faults, store_down_refuses_keyed_work_as_not_run_and_serves_the_rest) {
  TestCluster world;
  world.StartAll();
  platform::StandInFaults away;
  away.forced_status = http_status::kUnavailable;
  world.platform().SetFaults(away);
  const CallResult keyed = world.Post(0, "k", "key-1");
  cr_assert_eq(keyed.response.status, http_status::kUnavailable);
  cr_assert_str_eq(TestCluster::OutcomeHeader(keyed).c_str(), "not-run");
  cr_assert_eq(world.RunsOf("k"), 0);
  cr_assert_eq(world.Post(0, "plain").response.status, http_status::kOk);
  cr_assert_eq(world.Get(0, "read").response.status, http_status::kOk);
}

Test(promise, racing_commands_have_one_winner_in_force_everywhere) {
  TestCluster world;
  world.StartAll();
  std::vector<std::string> answers;
  const auto submit = [&](std::size_t host, const std::string& text) {
    auto client = std::make_shared<HttpClient>(
        world.loop(),
        *ParseTcpEndpoint(world.host(host).state().settings.listen.operators),
        HttpLimits());
    client->Send({"POST",
                  "/v1/query",
                  {{"Host", "t"},
                   {"Authorization",
                    "Bearer " + world.host(host).secrets().operator_token()}},
                  text},
                 {std::chrono::seconds(30), std::chrono::seconds(30)},
                 [&answers, client](const CallResult& result) {
                   answers.push_back(result.response.body);
                 });
  };
  submit(0, "drain upstream upstream-0-0");
  submit(1, "drain upstream upstream-0-1");
  cr_assert(world.Await([&] { return answers.size() == 2; }));
  const auto accepted = std::count_if(
      answers.begin(), answers.end(), [](const std::string& answer) {
        return answer.find("accepted as configuration version 1") !=
               std::string::npos;
      });
  cr_assert_eq(accepted, 1);
  cr_assert(world.Await([&] {
    return world.host(0).commands().version() ==
               world.host(1).commands().version() &&
           world.host(0).commands().version() >= 1;
  }));
  cr_assert(world.host(0).commands().state().drained_upstreams ==
            world.host(1).commands().state().drained_upstreams);
}

// An address whose callers are among the first that a shift moves.
std::string EarlyMover() {
  constexpr double kEarly = 0.1;
  for (int i = 0;; ++i) {
    const std::string block = "127.101." + std::to_string(i);
    if (UnitIntervalHash(block) < kEarly) {
      return block + ".1";
    }
  }
}

// Promise: a shift never moves more than its cap, though all callers are
// among those that it wants to move. Checked to fail with the comparison in
// ShiftGate::TryMove taken out.
Test(promise, shift_moves_no_more_than_its_cap) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {1, 1};
  TestCluster world(plan);
  world.StartAll();
  const CallResult answer =
      world.RunCommand(0, "shift s from region-0 to region-1 cap 30% over 1s");
  cr_assert_eq(answer.response.status, http_status::kOk, "%s",
               answer.response.body.c_str());
  const std::string endpoint =
      world.address() + ":" + std::to_string(world.CallerPort(0));
  const std::string caller = EarlyMover();
  int offered = 0;
  int away = 0;
  int at_cap = 0;
  cr_assert(world.Await([&] {
    ++offered;
    world.SendAndWait(endpoint, world.GetRequest("s" + std::to_string(offered)),
                      caller);
    away = world.upstream(2).ledger().runs + world.upstream(3).ledger().runs;
    cr_assert_leq(away * 10, offered * 3);
    // Well beyond the moment when the shift is at its cap.
    at_cap += away * 4 >= offered ? 1 : 0;
    return at_cap >= 200;
  }));
}

Test(faults, wrong_peer_key_and_wrong_token_are_refused_and_logged) {
  TestCluster world;
  world.StartAll();
  cr_assert_eq(
      world.RunCommandWithToken(0, "show hosts", "wrong").response.status,
      http_status::kUnauthorized);
  cr_assert(world.HasEvent(0, EventCode::kOperatorRejected));
  boost::asio::ip::udp::socket stranger(world.loop(),
                                        boost::asio::ip::udp::v4());
  stranger.send_to(
      boost::asio::buffer(std::string("no heartbeat of this fleet")),
      {boost::asio::ip::make_address(world.address()),
       world.host(0).state().settings.peer_port});
  cr_assert(
      world.Await([&] { return world.HasEvent(0, EventCode::kPeerRejected); }));
}

Test(faults, every_query_is_answered) {
  TestCluster world;
  world.StartAll();
  world.Get(0, "r1");
  for (const char* text :
       {"help", "show hosts", "show upstreams", "show shifts", "show config",
        "show metrics", "where s from 10.0.0.1"}) {
    const CallResult answer = world.RunCommand(0, text);
    cr_assert_eq(answer.response.status, http_status::kOk, "%s", text);
    cr_assert_gt(answer.response.body.size(), 5U, "%s", text);
  }
  cr_assert_eq(world.RunCommand(0, "show nonsense").response.status,
               http_status::kBadRequest);
}

}  // namespace
}  // namespace pathcleat
