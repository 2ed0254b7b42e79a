// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Callers that disconnect before their answer: the host starts nothing more for
// them, and aborts their request at the upstream if it is repeatable.

#include "raw_client.hpp"
#include "test_cluster.hpp"

#include <numeric>
#include <vector>

namespace pathcleat {
namespace {

using boost::asio::ip::tcp;

std::string GetText(const std::string& run_id) {
  return "GET /s/read/item HTTP/1.1\r\nHost: test.example\r\nX-Run-Id: " +
         run_id + "\r\n\r\n";
}

std::string PostText(const std::string& run_id, std::size_t bytes) {
  return "POST /s/write/entry HTTP/1.1\r\nHost: test.example\r\nX-Run-Id: " +
         run_id + "\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n" +
         std::string(bytes, 'b');
}

// Connects and sends synchronously, so that the caller can act while the event
// loop of the host does not run.
tcp::socket ConnectAndSend(TestCluster& cluster, const std::string& text) {
  tcp::socket socket(cluster.loop());
  socket.connect({boost::asio::ip::make_address(cluster.address()),
                  cluster.CallerPort(0)});
  boost::asio::write(socket, boost::asio::buffer(text));
  return socket;
}

std::uint64_t CallersLeft(TestCluster& cluster) {
  const auto& counts = cluster.host(0).state().metrics.callers_left();
  return std::accumulate(
      counts.begin(), counts.end(), std::uint64_t{0},
      [](std::uint64_t sum, const auto& entry) { return sum + entry.second; });
}

std::uint64_t CallersLeftWith(TestCluster& cluster, AbandonedWork work) {
  const auto& counts = cluster.host(0).state().metrics.callers_left();
  const auto found = counts.find(work);
  return found == counts.end() ? 0 : found->second;
}

void HoldAllAnswers(TestCluster& cluster) {
  cluster.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
}

// Opens an idle connection to each upstream, so that a next request is sent
// without another turn of the event loop.
int OpenConnections(TestCluster& cluster) {
  for (std::size_t i = 0; i < cluster.upstream_count(); ++i) {
    for (int j = 0; cluster.upstream(i).ledger().runs == 0; ++j) {
      cluster.Get(0, "warm" + std::to_string(i) + "-" + std::to_string(j));
    }
  }
  return cluster.TotalRuns();
}

// An overloaded host reads requests whose callers have already left. Fails
// without CheckConnection in RequestHandler::Start.
Test(caller_leaves, requests_read_after_their_caller_left_are_not_started) {
  TestCluster cluster;
  cluster.StartAll();
  const int runs = OpenConnections(cluster);
  constexpr int kCallers = 40;
  for (int i = 0; i < kCallers; ++i) {
    const std::string id = "r" + std::to_string(i);
    ConnectAndSend(cluster, i % 2 == 0 ? GetText(id) : PostText(id, 10))
        .close();
  }
  cr_assert(cluster.Await([&] { return CallersLeft(cluster) == kCallers; }));
  cr_assert_eq(CallersLeftWith(cluster, AbandonedWork::kNotStarted), kCallers);
  cr_assert_eq(cluster.Get(0, "after").response.status, http_status::kOk);
  cr_log_info("runs started for callers that had left: %d",
              cluster.TotalRuns() - runs - 1);
  cr_assert_eq(cluster.TotalRuns(), runs + 1);
}

// Fails, with one run, without the call of on_opened_ in HttpClient.
Test(caller_leaves,
     caller_that_leaves_while_a_connection_opens_starts_nothing) {
  TestCluster cluster;
  cluster.StartAll();
  tcp::socket caller = ConnectAndSend(cluster, PostText("left", 10));
  while (cluster.host(0).state().in_flight_count == 0) {
    cluster.loop().restart();
    cluster.loop().poll_one();
  }
  caller.close();
  cr_assert(cluster.Await(
      [&] { return cluster.host(0).state().in_flight_count == 0; }));
  cr_assert_eq(CallersLeftWith(cluster, AbandonedWork::kNotStarted), 1U);
  cr_assert_eq(cluster.Get(0, "after").response.status, http_status::kOk);
  cr_assert_eq(cluster.RunsOf("left"), 0);
}

// Fails, with two runs, without CheckConnection in RetryOrGiveUp.
Test(caller_leaves, broken_attempt_of_a_caller_that_left_is_not_retried) {
  TestCluster cluster;
  cluster.StartAll();
  OpenConnections(cluster);
  HoldAllAnswers(cluster);
  tcp::socket caller = ConnectAndSend(cluster, GetText("left"));
  cr_assert(cluster.Await([&] { return cluster.InFlight() == 1; }));
  cluster.ForEachUpstream([](UpstreamStandIn& u) {
    if (u.in_flight() > 0) {
      u.Crash();
    }
  });
  caller.close();
  cr_assert(cluster.Await(
      [&] { return cluster.host(0).state().in_flight_count == 0; }));
  cr_assert_eq(CallersLeft(cluster), 1U);
  cluster.PollEventLoop();
  cr_assert_eq(cluster.RunsOf("left"), 1);
}

// A host reads pipelined bytes only up to a limit, so the end of the connection
// behind unread bytes is not seen by reading. Fails, with the slot kept until
// the deadline, without PollCaller.
Test(caller_leaves, caller_that_leaves_with_unread_bytes_is_detected) {
  TestCluster cluster;
  cluster.StartAll();
  HoldAllAnswers(cluster);
  std::string pipelined;
  while (pipelined.size() < 4 * HttpLimits().max_header_bytes) {
    pipelined += GetText("ahead");
  }
  tcp::socket caller = ConnectAndSend(cluster, GetText("held") + pipelined);
  cr_assert(cluster.Await([&] { return cluster.InFlight() == 1; }));
  const double before = cluster.SlotSeconds();
  caller.close();
  cr_assert(cluster.Await([&] { return cluster.InFlight() == 0; }));
  cr_log_info("slot-seconds %.3f", cluster.SlotSeconds() - before);
  cr_assert_eq(CallersLeftWith(cluster, AbandonedWork::kCancelled), 1U);
  cr_assert_eq(cluster.RunsOf("ahead"), 0);
}

// Fails, with the whole body passed on, if CancelAttempt spares every
// non-repeatable request once a byte was sent; also fails without the linger
// option in HttpClient::Cancel.
Test(caller_leaves, body_of_a_caller_that_left_is_not_passed_on) {
  constexpr std::size_t kBodyBytes = 32UL * 1024 * 1024;
  TestClusterPlan plan;
  plan.upstreams_in_domain = 0;
  plan.caller_limits.max_body_bytes = kBodyBytes;
  TestCluster cluster(plan);
  cluster.StartAll();
  tcp::acceptor slow_upstream(
      cluster.loop(), {boost::asio::ip::make_address(cluster.address()), 0});
  UpstreamInfo info;
  info.id = "slow";
  info.service = "s";
  info.address = cluster.address() + ":" +
                 std::to_string(slow_upstream.local_endpoint().port());
  info.domain = "domain-0";
  info.slots = 2;
  tcp::socket upstream_socket(cluster.loop());
  bool accepted = false;
  slow_upstream.async_accept(
      upstream_socket,
      [&](const boost::system::error_code& error) { accepted = !error; });
  cluster.platform().PutUpstream(info);
  cr_assert(cluster.Await(
      [&] { return cluster.host(0).state().upstreams.size() == 1; }));
  RawClient caller(cluster.loop(), cluster.address(), cluster.CallerPort(0));
  caller.Send(PostText("left", kBodyBytes));
  cr_assert(cluster.Await([&] { return accepted; }));
  caller.Close();
  cr_assert(cluster.Await([&] { return CallersLeft(cluster) == 1; }));
  std::vector<char> chunk(1UL << 20U);
  std::size_t received_bytes = 0;
  boost::system::error_code end;
  while (!end && received_bytes < kBodyBytes) {
    bool done = false;
    upstream_socket.async_read_some(
        boost::asio::buffer(chunk),
        [&](const boost::system::error_code& error, std::size_t bytes) {
          done = true;
          end = error;
          received_bytes += bytes;
        });
    cr_assert(cluster.Await([&] { return done; }));
  }
  cr_assert_lt(received_bytes, kBodyBytes);
  cr_assert(end == boost::asio::error::connection_reset);
}

// A key claim that completes after its caller has left starts nothing and
// leaves the key free. Fails, with one run, without the check of done_ in
// RequestHandler::OnKeyDecision.
Test(caller_leaves, key_claim_that_ends_too_late_starts_nothing) {
  TestCluster cluster;
  cluster.StartAll();
  platform::StandInFaults slow_faults;
  slow_faults.delay = std::chrono::milliseconds(300);
  cluster.platform().SetFaults(slow_faults);
  const std::uint64_t writes = cluster.platform().writes();
  RawClient caller(cluster.loop(), cluster.address(), cluster.CallerPort(0));
  std::string text = PostText("left", 1);
  text.insert(text.find("Content-Length"), "Idempotency-Key: k\r\n");
  caller.Send(text);
  cr_assert(
      cluster.Await([&] { return cluster.platform().writes() > writes; }));
  caller.Close();
  cr_assert(cluster.Await(
      [&] { return cluster.host(0).state().in_flight_count == 0; }));
  cluster.platform().SetFaults({});
  cr_assert_eq(CallersLeftWith(cluster, AbandonedWork::kNotStarted), 1U);
  cr_assert(cluster.Await([&] {
    return cluster.Post(0, "again", "k").response.status == http_status::kOk;
  }));
  cr_assert_eq(cluster.RunsOf("left"), 0);
}

// Many callers leave at the same time. Fails, with the slots kept until the
// deadline, without CancelAttempt in OnCallerLeft.
Test(caller_leaves, many_callers_that_leave_at_once_free_their_slots) {
  constexpr std::size_t kCallers = 100;
  TestClusterPlan plan;
  plan.slots = kCallers;
  // No caller is answered: with a short target latency the upstreams would
  // count as silent on a busy machine before all callers have sent.
  plan.target_latency = Duration(60'000'000);
  plan.timeout = Duration(60'000'000);
  TestCluster cluster(plan);
  cluster.StartAll();
  HoldAllAnswers(cluster);
  std::vector<std::unique_ptr<RawClient>> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<RawClient>(
        cluster.loop(), cluster.address(), cluster.CallerPort(0)));
    callers.back()->Send(GetText("r" + std::to_string(i)));
  }
  cr_assert(cluster.Await([&] { return cluster.InFlight() == kCallers; }));
  const double before = cluster.SlotSeconds();
  for (std::size_t i = 0; i < kCallers; ++i) {
    i % 2 == 0 ? callers[i]->Close() : callers[i]->Reset();
  }
  cr_assert(cluster.Await([&] { return cluster.InFlight() == 0; }));
  cr_log_info("slot-seconds %.3f", cluster.SlotSeconds() - before);
  cr_assert_eq(CallersLeftWith(cluster, AbandonedWork::kCancelled), kCallers);
  cr_assert_eq(cluster.TotalRuns(), kCallers);
}

// When a caller half-closes its connection, the host aborts its repeatable
// request and answers that the outcome is unknown, as the caller may still
// read. Fails, with the connection closed without an answer, without
// exchange->NotifyCallerHalfClosed in the session.
Test(caller_leaves,
     caller_that_half_closes_is_answered_that_its_request_was_aborted) {
  TestCluster cluster;
  cluster.StartAll();
  HoldAllAnswers(cluster);
  RawClient caller(cluster.loop(), cluster.address(), cluster.CallerPort(0));
  caller.Send(GetText("held"));
  cr_assert(cluster.Await([&] { return cluster.InFlight() == 1; }));
  caller.HalfClose();
  cr_assert(cluster.Await([&] { return caller.IsClosed(); }));
  cr_assert(caller.HasReceived("HTTP/1.1 502"));
  cr_assert(caller.HasReceived("Pathcleat-Outcome: unknown"));
  cr_assert(cluster.Await([&] { return cluster.InFlight() == 0; }));
  // If nothing was sent to an upstream yet, the answer is "not-run".
  RawClient early(cluster.loop(), cluster.address(), cluster.CallerPort(0));
  early.Send(PostText("early", 1));
  early.HalfClose();
  cr_assert(cluster.Await([&] { return early.IsClosed(); }));
  cr_assert(early.HasReceived("HTTP/1.1 503"));
  cr_assert(early.HasReceived("Pathcleat-Outcome: not-run"));
  cr_assert_eq(cluster.RunsOf("early"), 0);
}

// A non-repeatable request runs on after a half-close, and its answer goes to a
// caller that still reads. Fails, as the test above, without
// exchange->NotifyCallerHalfClosed in the session.
Test(caller_leaves, submission_of_a_caller_that_half_closes_is_answered) {
  TestCluster cluster;
  cluster.StartAll();
  HoldAllAnswers(cluster);
  RawClient caller(cluster.loop(), cluster.address(), cluster.CallerPort(0));
  caller.Send(PostText("held", 1));
  cr_assert(cluster.Await([&] { return cluster.InFlight() == 1; }));
  caller.HalfClose();
  cr_assert(cluster.Await([&] { return CallersLeft(cluster) == 1; }));
  cr_assert_eq(CallersLeftWith(cluster, AbandonedWork::kRunsOn), 1U);
  cluster.ForEachUpstream(
      [](UpstreamStandIn& u) { u.ReleaseAnswerOfRun("held"); });
  cr_assert(cluster.Await([&] { return caller.IsClosed(); }));
  cr_assert(caller.HasReceived("HTTP/1.1 200"));
  cr_assert(caller.HasReceived("end held"));
}

// After a half-close the host completes the answer that it is writing, and does
// not start the pipelined request behind. Fails, with the answer cut off, if
// ServerSession::OnReadError closes at once.
Test(caller_leaves,
     caller_that_half_closes_while_it_reads_gets_the_whole_answer) {
  constexpr std::size_t kBodyBytes = 32UL * 1024 * 1024;
  TestClusterPlan plan;
  plan.caller_limits.max_body_bytes = kBodyBytes;
  TestCluster cluster(plan);
  cluster.StartAll();
  RawClient caller(cluster.loop(), cluster.address(), cluster.CallerPort(0));
  caller.Send(PostText("big", kBodyBytes) + GetText("behind"));
  cr_assert(cluster.Await([&] { return !caller.received().empty(); }));
  caller.HalfClose();
  cr_assert(cluster.Await([&] { return caller.IsClosed(); }));
  cr_assert(caller.HasReceived("end big"));
  cr_assert_eq(cluster.RunsOf("behind"), 0);
}

}  // namespace
}  // namespace pathcleat
