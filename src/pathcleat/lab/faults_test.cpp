// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Guarantees that must hold when upstreams, hosts and the platform fail.

#include "test_cluster.hpp"

#include <algorithm>

#include "pathcleat/core/hash.hpp"

namespace pathcleat {
namespace {

void CorruptAll(TestCluster& cluster, AnswerCorruption corruption) {
  cluster.ForEachUpstream(
      [corruption](UpstreamStandIn& u) { u.CorruptAnswers(corruption); });
}

// Guarantee: a non-repeatable submission runs at most once. Fails without the
// check of route_->repeatable in OnFailure.
Test(promise, broken_submission_is_unknown_and_never_sent_again) {
  TestCluster cluster;
  cluster.StartAll();
  CorruptAll(cluster, AnswerCorruption::kNoAnswer);
  const CallResult post = cluster.Post(0, "r1");
  cr_assert_eq(post.response.status, http_status::kBadGateway);
  cr_assert_str_eq(TestCluster::OutcomeHeader(post).c_str(), "unknown");
  cr_assert_eq(cluster.RunsOf("r1"), 1);
}

// Guarantee: "not-run" is true. A repeatable request whose connection broke at
// every upstream may have run, so the host does not report "not-run". Fails
// with run_tracker_.OnNotRun called in OnFailure.
Test(promise, broken_lookup_that_no_upstream_answers_is_unknown) {
  TestCluster cluster;
  cluster.StartAll();
  CorruptAll(cluster, AnswerCorruption::kNoAnswer);
  const CallResult first = cluster.Get(0, "r0");
  cr_assert_eq(first.response.status, http_status::kBadGateway);
  cr_assert_str_eq(TestCluster::OutcomeHeader(first).c_str(), "unknown");
  // Later requests may find no upstream left to try; only those have not run.
  for (int i = 1; i < 6; ++i) {
    const std::string id = "r" + std::to_string(i);
    const CallResult get = cluster.Get(0, id);
    const bool is_not_run = get.response.status == http_status::kUnavailable;
    cr_assert_eq(is_not_run, cluster.RunsOf(id) == 0, "%s", id.c_str());
  }
}

// The host also does not report "not-run" if the second upstream rejects the
// request, because the first upstream has run the request.
Test(promise, lookup_that_ran_once_is_unknown_if_another_upstream_rejects_it) {
  TestClusterPlan plan;
  plan.upstreams_in_domain = 2;
  TestCluster cluster(plan);
  cluster.StartAll();
  cluster.upstream(0).CorruptAnswers(AnswerCorruption::kNoAnswer);
  cluster.upstream(1).RejectRequests(true);
  for (int i = 0; i < 6; ++i) {
    const std::string id = "r" + std::to_string(i);
    const CallResult get = cluster.Get(0, id);
    const bool is_not_run = get.response.status == http_status::kUnavailable;
    cr_assert_eq(is_not_run, cluster.RunsOf(id) == 0, "%s", id.c_str());
  }
}

Test(faults, broken_lookup_is_tried_at_another_upstream) {
  TestCluster cluster;
  cluster.StartAll();
  cluster.upstream(0).CorruptAnswers(AnswerCorruption::kNoAnswer);
  for (int i = 0; i < 8; ++i) {
    cr_assert_eq(cluster.Get(0, "r" + std::to_string(i)).response.status,
                 http_status::kOk);
  }
}

// Guarantee: a caller never gets part of the answer to another request. Fails
// without MakeResponseMatcher.
Test(promise, answer_of_another_request_is_never_passed_on) {
  TestCluster cluster;
  cluster.StartAll();
  CorruptAll(cluster, AnswerCorruption::kWrongRequestId);
  const CallResult post = cluster.Post(0, "r1");
  cr_assert_neq(post.response.status, http_status::kOk);
  cr_assert_eq(post.response.body.str().find("run r1"), std::string::npos);
}

// Fails without IsCompleteAnswer.
Test(promise, success_without_signature_is_never_passed_on) {
  TestCluster cluster;
  cluster.StartAll();
  CorruptAll(cluster, AnswerCorruption::kNoSignature);
  cr_assert_eq(cluster.Post(0, "r1").response.status, http_status::kBadGateway);
  cr_assert_eq(cluster.RunsOf("r1"), 1);
}

Test(faults, submission_that_an_upstream_did_not_run_goes_to_another) {
  TestCluster cluster;
  cluster.StartAll();
  cluster.upstream(0).RejectRequests(true);
  for (int i = 0; i < 6; ++i) {
    const std::string id = "r" + std::to_string(i);
    cr_assert_eq(cluster.Post(0, id).response.status, http_status::kOk);
    cr_assert_eq(cluster.RunsOf(id), 1);
  }
}

// Guarantee: a request answered with "not-run" has not run.
Test(promise, refusal_means_that_nothing_ran_and_has_retry_after) {
  TestCluster cluster;
  cluster.StartAll();
  cluster.ForEachUpstream([](UpstreamStandIn& u) { u.RejectRequests(true); });
  const CallResult post = cluster.Post(0, "r1");
  cr_assert_eq(post.response.status, http_status::kUnavailable);
  cr_assert_str_eq(TestCluster::OutcomeHeader(post).c_str(), "not-run");
  cr_assert(FindHeader(post.response.headers, "Retry-After").has_value());
  cr_assert_eq(cluster.RunsOf("r1"), 0);
}

Test(faults, address_taken_over_by_another_upstream_runs_nothing) {
  TestCluster cluster;
  cluster.StartAll();
  // The list still has an upstream that is gone, under the address of another.
  UpstreamInfo gone = cluster.upstream_info(0);
  gone.id = "upstream-gone";
  cluster.platform().PutUpstream(gone);
  cluster.platform().RemoveUpstream(cluster.upstream_info(0).id);
  cluster.platform().RemoveUpstream(cluster.upstream_info(1).id);
  cr_assert(cluster.Await(
      [&] { return cluster.host(0).state().upstreams.size() == 1; }));
  const CallResult post = cluster.Post(0, "r1");
  cr_assert_eq(post.response.status, http_status::kUnavailable);
  cr_assert_eq(cluster.RunsOf("r1"), 0);
}

Test(faults, crashed_upstream_is_replaced_by_a_live_one) {
  TestCluster cluster;
  cluster.StartAll();
  cluster.upstream(0).Crash();
  for (int i = 0; i < 6; ++i) {
    const std::string id = "r" + std::to_string(i);
    cr_assert_eq(cluster.Post(0, id).response.status, http_status::kOk);
  }
}

Test(faults, route_timeout_is_answered_at_once) {
  TestClusterPlan plan;
  plan.timeout = Duration(300'000);
  TestCluster cluster(plan);
  cluster.StartAll();
  cluster.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
  const CallResult post = cluster.Post(0, "r1");
  cr_assert_eq(post.response.status, http_status::kGatewayTimeout);
  cr_assert_str_eq(TestCluster::OutcomeHeader(post).c_str(), "unknown");
}

// Guarantee: a leaving upstream gets no new requests. Fails without the check
// of info.leaving in UpstreamTable::IsOpen.
Test(promise, leaving_and_drained_upstreams_get_nothing_new) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {1, 1};
  TestCluster cluster(plan);
  cluster.StartAll();
  UpstreamInfo leaving = cluster.upstream_info(0);
  leaving.leaving = true;
  cluster.platform().PutUpstream(leaving);
  cr_assert(cluster.Await(
      [&] { return cluster.HasEvent(0, EventCode::kUpstreamLeaving); }));
  cr_assert_eq(
      cluster.RunCommand(0, "drain upstream upstream-0-1").response.status,
      http_status::kOk);
  for (int i = 0; i < 10; ++i) {
    cr_assert_eq(cluster.Get(0, "d" + std::to_string(i)).response.status,
                 http_status::kOk);
  }
  cr_assert_eq(cluster.upstream(0).ledger().runs, 0);
  cr_assert_eq(cluster.upstream(1).ledger().runs, 0);
  cluster.platform().SetDomainDrained("domain-1", true);
  cr_assert(cluster.Await(
      [&] { return cluster.HasEvent(0, EventCode::kDomainDrained); }));
  const int before = cluster.TotalRuns();
  cr_assert_eq(cluster.Post(0, "nowhere").response.status,
               http_status::kUnavailable);
  cr_assert_eq(cluster.TotalRuns(), before);
  cluster.platform().SetDomainDrained("domain-1", false);
  cr_assert(cluster.Await([&] {
    return cluster.host(0).state().upstreams.drained_domains().empty();
  }));
  cr_assert_eq(cluster.Post(0, "again").response.status, http_status::kOk);
}

// Guarantee: an accepted configuration is never replaced by an older version.
// Fails without the version comparison in RouteTable::ReplaceIfNewer.
Test(promise, older_configuration_is_never_applied) {
  TestCluster cluster;
  cluster.StartAll();
  RoutingConfig newer = cluster.config();
  newer.version = 7;
  newer.routes.pop_back();
  cluster.platform().PutConfig(newer);
  cr_assert(cluster.Await(
      [&] { return cluster.host(0).state().routes.version() == 7; }));
  cr_assert_eq(cluster.Post(0, "r1").response.status, http_status::kNotFound);
  cluster.platform().PutConfig(cluster.config());  // version 1 again
  cluster.platform().ForgetHistory();
  cr_assert_eq(cluster.Get(0, "r2").response.status, http_status::kOk);
  cluster.PollEventLoop();
  cr_assert_eq(cluster.host(0).state().routes.version(), 7U);
}

// Guarantee: a submission with an idempotency key runs at most once, at
// whichever host it is repeated.
Test(promise, repeats_at_other_hosts_run_a_key_once) {
  TestCluster cluster;
  cluster.StartAll();
  const CallResult first = cluster.Post(0, "k.1", "key-1");
  const CallResult second = cluster.Post(1, "k.2", "key-1");
  cr_assert_eq(first.response.status, http_status::kOk);
  cr_assert_eq(cluster.TotalRuns(), 1);
  cr_assert(second.response.status == http_status::kConflict ||
            second.response.body.str() == first.response.body.str());
  cr_assert(cluster.Await([&] {
    const CallResult again = cluster.Post(1, "k.3", "key-1");
    return again.response.status == http_status::kOk &&
           again.response.body.str() == first.response.body.str();
  }));
  cr_assert_eq(cluster.TotalRuns(), 1);
  cr_assert_eq(cluster.Post(1, "k.4", "key-1", "other").response.status,
               http_status::kUnprocessable);
}

Test(faults, store_down_refuses_keyed_work_as_not_run_and_serves_the_rest) {
  TestCluster cluster;
  cluster.StartAll();
  platform::StandInFaults unavailable;
  unavailable.forced_status = http_status::kUnavailable;
  cluster.platform().SetFaults(unavailable);
  const CallResult keyed = cluster.Post(0, "k", "key-1");
  cr_assert_eq(keyed.response.status, http_status::kUnavailable);
  cr_assert_str_eq(TestCluster::OutcomeHeader(keyed).c_str(), "not-run");
  cr_assert_eq(cluster.RunsOf("k"), 0);
  cr_assert_eq(cluster.Post(0, "plain").response.status, http_status::kOk);
  cr_assert_eq(cluster.Get(0, "read").response.status, http_status::kOk);
}

Test(promise, one_of_two_racing_commands_takes_effect_everywhere) {
  TestCluster cluster;
  cluster.StartAll();
  std::vector<std::string> responses;
  const auto submit = [&](std::size_t host, const std::string& text) {
    auto client = std::make_shared<HttpClient>(
        cluster.loop(),
        *ParseTcpEndpoint(cluster.host(host).state().settings.listen.operators),
        HttpLimits());
    client->Send({"POST",
                  "/v1/query",
                  {{"Host", "t"},
                   {"Authorization",
                    "Bearer " + cluster.host(host).secrets().operator_token()}},
                  text},
                 {std::chrono::seconds(30), std::chrono::seconds(30)},
                 [&responses, client](const CallResult& result) {
                   responses.push_back(result.response.body.str());
                 });
  };
  submit(0, "drain upstream upstream-0-0");
  submit(1, "drain upstream upstream-0-1");
  cr_assert(cluster.Await([&] { return responses.size() == 2; }));
  const auto accepted = std::count_if(
      responses.begin(), responses.end(), [](const std::string& response) {
        return response.find("accepted as configuration version 1") !=
               std::string::npos;
      });
  cr_assert_eq(accepted, 1);
  cr_assert(cluster.Await([&] {
    return cluster.host(0).commands().version() ==
               cluster.host(1).commands().version() &&
           cluster.host(0).commands().version() >= 1;
  }));
  cr_assert(cluster.host(0).commands().state().drained_upstreams ==
            cluster.host(1).commands().state().drained_upstreams);
}

// An address whose callers a shift moves first.
std::string EarlyMovedCaller() {
  constexpr double kFirstTenth = 0.1;
  for (int i = 0;; ++i) {
    const std::string block = "127.101." + std::to_string(i);
    if (UnitIntervalHash(block) < kFirstTenth) {
      return block + ".1";
    }
  }
}

// Guarantee: a shift never moves more than its cap, even if it selects all
// callers. Fails without the comparison in ShiftControl::TryMove.
Test(promise, shift_moves_no_more_than_its_cap) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {1, 1};
  TestCluster cluster(plan);
  cluster.StartAll();
  const CallResult result = cluster.RunCommand(
      0, "shift s from region-0 to region-1 cap 30% over 1s");
  cr_assert_eq(result.response.status, http_status::kOk, "%s",
               result.response.body.str().c_str());
  const std::string endpoint =
      cluster.address() + ":" + std::to_string(cluster.CallerPort(0));
  const std::string caller = EarlyMovedCaller();
  int offered = 0;
  int unavailable = 0;
  int at_cap = 0;
  cr_assert(cluster.Await([&] {
    ++offered;
    cluster.SendAndWait(
        endpoint, cluster.GetRequest("s" + std::to_string(offered)), caller);
    unavailable =
        cluster.upstream(2).ledger().runs + cluster.upstream(3).ledger().runs;
    cr_assert_leq(unavailable * 10, offered * 3);
    // Continues well after the shift has reached its cap.
    at_cap += unavailable * 4 >= offered ? 1 : 0;
    return at_cap >= 200;
  }));
}

Test(faults, wrong_peer_key_and_wrong_token_are_refused_and_logged) {
  TestCluster cluster;
  cluster.StartAll();
  cr_assert_eq(
      cluster.RunCommandWithToken(0, "show hosts", "wrong").response.status,
      http_status::kUnauthorized);
  cr_assert(cluster.HasEvent(0, EventCode::kOperatorRejected));
  boost::asio::ip::udp::socket unknown_peer(cluster.loop(),
                                            boost::asio::ip::udp::v4());
  unknown_peer.send_to(
      boost::asio::buffer(std::string("no heartbeat of this fleet")),
      {boost::asio::ip::make_address(cluster.address()),
       cluster.host(0).state().settings.peer_port});
  cr_assert(cluster.Await(
      [&] { return cluster.HasEvent(0, EventCode::kPeerRejected); }));
}

Test(faults, every_query_is_answered) {
  TestCluster cluster;
  cluster.StartAll();
  cluster.Get(0, "r1");
  for (const char* text :
       {"help", "show hosts", "show upstreams", "show shifts", "show config",
        "show metrics", "where s from 10.0.0.1"}) {
    const CallResult result = cluster.RunCommand(0, text);
    cr_assert_eq(result.response.status, http_status::kOk, "%s", text);
    cr_assert_gt(result.response.body.size(), 5U, "%s", text);
  }
  cr_assert_eq(cluster.RunCommand(0, "show nonsense").response.status,
               http_status::kBadRequest);
}

}  // namespace
}  // namespace pathcleat
