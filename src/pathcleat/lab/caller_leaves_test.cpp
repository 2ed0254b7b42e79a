// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Callers that leave before their answer: nothing more of their work is
// started, and what may be repeated ends at its upstream.

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

// A caller whose steps take effect at once, while the host stands still.
tcp::socket SendAtOnce(TestCluster& world, const std::string& text) {
  tcp::socket socket(world.loop());
  socket.connect(
      {boost::asio::ip::make_address(world.address()), world.CallerPort(0)});
  boost::asio::write(socket, boost::asio::buffer(text));
  return socket;
}

std::uint64_t Left(TestCluster& world) {
  const auto& left = world.host(0).state().metrics.callers_left();
  return std::accumulate(
      left.begin(), left.end(), std::uint64_t{0},
      [](std::uint64_t sum, const auto& entry) { return sum + entry.second; });
}

std::uint64_t LeftWith(TestCluster& world, AbandonedWork work) {
  const auto& left = world.host(0).state().metrics.callers_left();
  const auto found = left.find(work);
  return found == left.end() ? 0 : found->second;
}

void HoldAll(TestCluster& world) {
  world.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
}

// Leaves a connection open to each upstream, on which a request goes out
// without a turn of the loop between.
int OpenConnections(TestCluster& world) {
  for (std::size_t i = 0; i < world.upstream_count(); ++i) {
    for (int j = 0; world.upstream(i).ledger().runs == 0; ++j) {
      world.Get(0, "warm" + std::to_string(i) + "-" + std::to_string(j));
    }
  }
  return world.TotalRuns();
}

// A host that is behind reads requests whose callers have given up. Checked to
// fail without CheckCaller in Call::Start.
Test(gone, callers_that_left_before_they_were_read_start_nothing) {
  TestCluster world;
  world.StartAll();
  const int runs = OpenConnections(world);
  constexpr int kCallers = 40;
  for (int i = 0; i < kCallers; ++i) {
    const std::string id = "r" + std::to_string(i);
    SendAtOnce(world, i % 2 == 0 ? GetText(id) : PostText(id, 10)).close();
  }
  cr_assert(world.Await([&] { return Left(world) == kCallers; }));
  cr_assert_eq(LeftWith(world, AbandonedWork::kNotStarted), kCallers);
  cr_assert_eq(world.Get(0, "after").response.status, http_status::kOk);
  cr_log_info("begun for callers that had left: %d",
              world.TotalRuns() - runs - 1);
  cr_assert_eq(world.TotalRuns(), runs + 1);
}

// Checked to fail, with one run, without the call of on_opened_ in HttpClient.
Test(gone, caller_that_leaves_while_a_connection_opens_starts_nothing) {
  TestCluster world;
  world.StartAll();
  tcp::socket caller = SendAtOnce(world, PostText("left", 10));
  while (world.host(0).state().in_flight_count == 0) {
    world.loop().restart();
    world.loop().poll_one();
  }
  caller.close();
  cr_assert(
      world.Await([&] { return world.host(0).state().in_flight_count == 0; }));
  cr_assert_eq(LeftWith(world, AbandonedWork::kNotStarted), 1U);
  cr_assert_eq(world.Get(0, "after").response.status, http_status::kOk);
  cr_assert_eq(world.RunsOf("left"), 0);
}

// Checked to fail, with two runs, without CheckCaller in RetryOrGiveUp.
Test(gone, broken_attempt_of_a_caller_that_left_is_not_made_again) {
  TestCluster world;
  world.StartAll();
  OpenConnections(world);
  HoldAll(world);
  tcp::socket caller = SendAtOnce(world, GetText("left"));
  cr_assert(world.Await([&] { return world.InFlight() == 1; }));
  world.ForEachUpstream([](UpstreamStandIn& u) {
    if (u.in_flight() > 0) {
      u.Crash();
    }
  });
  caller.close();
  cr_assert(
      world.Await([&] { return world.host(0).state().in_flight_count == 0; }));
  cr_assert_eq(Left(world), 1U);
  world.PollEventLoop();
  cr_assert_eq(world.RunsOf("left"), 1);
}

// What a caller has sent ahead is not read beyond a bound, and hides its end.
// Checked to fail, the slot kept until the deadline, without WatchCaller.
Test(gone, caller_that_leaves_behind_unread_bytes_is_noticed) {
  TestCluster world;
  world.StartAll();
  HoldAll(world);
  std::string ahead;
  while (ahead.size() < 4 * HttpLimits().max_header_bytes) {
    ahead += GetText("ahead");
  }
  tcp::socket caller = SendAtOnce(world, GetText("held") + ahead);
  cr_assert(world.Await([&] { return world.InFlight() == 1; }));
  const double before = world.SlotSeconds();
  caller.close();
  cr_assert(world.Await([&] { return world.InFlight() == 0; }));
  cr_log_info("slot-seconds %.3f", world.SlotSeconds() - before);
  cr_assert_eq(LeftWith(world, AbandonedWork::kCancelled), 1U);
  cr_assert_eq(world.RunsOf("ahead"), 0);
}

// Checked to fail, with all of the body passed on, with CancelAttempt sparing
// all that may not be repeated once a byte was sent; and without the linger of
// HttpClient::Cancel.
Test(gone, body_of_a_caller_that_left_is_not_passed_on) {
  constexpr std::size_t kBody = 32UL * 1024 * 1024;
  TestClusterPlan plan;
  plan.upstreams_in_domain = 0;
  plan.caller_limits.max_body_bytes = kBody;
  TestCluster world(plan);
  world.StartAll();
  tcp::acceptor slow(world.loop(),
                     {boost::asio::ip::make_address(world.address()), 0});
  UpstreamInfo info;
  info.id = "slow";
  info.service = "s";
  info.address =
      world.address() + ":" + std::to_string(slow.local_endpoint().port());
  info.domain = "domain-0";
  info.slots = 2;
  tcp::socket reading(world.loop());
  bool accepted = false;
  slow.async_accept(reading, [&](const boost::system::error_code& error) {
    accepted = !error;
  });
  world.platform().PutUpstream(info);
  cr_assert(
      world.Await([&] { return world.host(0).state().upstreams.size() == 1; }));
  RawClient caller(world.loop(), world.address(), world.CallerPort(0));
  caller.Send(PostText("left", kBody));
  cr_assert(world.Await([&] { return accepted; }));
  caller.Close();
  cr_assert(world.Await([&] { return Left(world) == 1; }));
  std::vector<char> chunk(1UL << 20U);
  std::size_t passed_on = 0;
  boost::system::error_code end;
  while (!end && passed_on < kBody) {
    bool done = false;
    reading.async_read_some(
        boost::asio::buffer(chunk),
        [&](const boost::system::error_code& error, std::size_t bytes) {
          done = true;
          end = error;
          passed_on += bytes;
        });
    cr_assert(world.Await([&] { return done; }));
  }
  cr_assert_lt(passed_on, kBody);
  cr_assert(end == boost::asio::error::connection_reset);
}

// A key claim that ends after its caller has left starts nothing, and leaves
// the key free. Checked to fail, with one run, without the test of done_ in
// Call::OnKey.
Test(gone, key_claim_that_ends_too_late_starts_nothing) {
  TestCluster world;
  world.StartAll();
  platform::StandInFaults slow;
  slow.delay = std::chrono::milliseconds(300);
  world.platform().SetFaults(slow);
  const std::uint64_t writes = world.platform().writes();
  RawClient caller(world.loop(), world.address(), world.CallerPort(0));
  std::string text = PostText("left", 1);
  text.insert(text.find("Content-Length"), "Idempotency-Key: k\r\n");
  caller.Send(text);
  cr_assert(world.Await([&] { return world.platform().writes() > writes; }));
  caller.Close();
  cr_assert(
      world.Await([&] { return world.host(0).state().in_flight_count == 0; }));
  world.platform().SetFaults({});
  cr_assert_eq(LeftWith(world, AbandonedWork::kNotStarted), 1U);
  cr_assert(world.Await([&] {
    return world.Post(0, "again", "k").response.status == http_status::kOk;
  }));
  cr_assert_eq(world.RunsOf("left"), 0);
}

// A burst that gives up together. Checked to fail, the slots kept until the
// deadline, without CancelAttempt in OnCallerLeft.
Test(gone, many_that_leave_at_once_free_their_slots) {
  constexpr std::size_t kCallers = 100;
  TestClusterPlan plan;
  plan.slots = kCallers;
  // Nobody is answered: on a busy machine the upstreams would count as silent
  // before all have sent.
  plan.target_latency = Duration(60'000'000);
  plan.timeout = Duration(60'000'000);
  TestCluster world(plan);
  world.StartAll();
  HoldAll(world);
  std::vector<std::unique_ptr<RawClient>> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<RawClient>(world.loop(), world.address(),
                                                  world.CallerPort(0)));
    callers.back()->Send(GetText("r" + std::to_string(i)));
  }
  cr_assert(world.Await([&] { return world.InFlight() == kCallers; }));
  const double before = world.SlotSeconds();
  for (std::size_t i = 0; i < kCallers; ++i) {
    i % 2 == 0 ? callers[i]->Close() : callers[i]->Reset();
  }
  cr_assert(world.Await([&] { return world.InFlight() == 0; }));
  cr_log_info("slot-seconds %.3f", world.SlotSeconds() - before);
  cr_assert_eq(LeftWith(world, AbandonedWork::kCancelled), kCallers);
  cr_assert_eq(world.TotalRuns(), kCallers);
}

// Decided: the end of what a caller sends ends its work that may be repeated.
// If it waits, it is told so. Checked to fail, the connection closed without
// an answer, without exchange->NotifyCallerHalfClosed in the session.
Test(gone, caller_that_half_closes_is_told_that_its_work_was_ended) {
  TestCluster world;
  world.StartAll();
  HoldAll(world);
  RawClient caller(world.loop(), world.address(), world.CallerPort(0));
  caller.Send(GetText("held"));
  cr_assert(world.Await([&] { return world.InFlight() == 1; }));
  caller.HalfClose();
  cr_assert(world.Await([&] { return caller.IsClosed(); }));
  cr_assert(caller.HasReceived("HTTP/1.1 502"));
  cr_assert(caller.HasReceived("Pathcleat-Outcome: unknown"));
  cr_assert(world.Await([&] { return world.InFlight() == 0; }));
  // With nothing sent yet, the answer is a promise.
  RawClient early(world.loop(), world.address(), world.CallerPort(0));
  early.Send(PostText("early", 1));
  early.HalfClose();
  cr_assert(world.Await([&] { return early.IsClosed(); }));
  cr_assert(early.HasReceived("HTTP/1.1 503"));
  cr_assert(early.HasReceived("Pathcleat-Outcome: not-run"));
  cr_assert_eq(world.RunsOf("early"), 0);
}

// Decided: work that may not be repeated runs on, and its answer is given to
// a caller that still waits. Checked to fail as the test above.
Test(gone, submission_of_a_caller_that_half_closes_is_answered) {
  TestCluster world;
  world.StartAll();
  HoldAll(world);
  RawClient caller(world.loop(), world.address(), world.CallerPort(0));
  caller.Send(PostText("held", 1));
  cr_assert(world.Await([&] { return world.InFlight() == 1; }));
  caller.HalfClose();
  cr_assert(world.Await([&] { return Left(world) == 1; }));
  cr_assert_eq(LeftWith(world, AbandonedWork::kRunsOn), 1U);
  world.ForEachUpstream(
      [](UpstreamStandIn& u) { u.ReleaseAnswerOfRun("held"); });
  cr_assert(world.Await([&] { return caller.IsClosed(); }));
  cr_assert(caller.HasReceived("HTTP/1.1 200"));
  cr_assert(caller.HasReceived("end held"));
}

// An answer that is being written is worth its end; the request behind it is
// not started. Checked to fail, the answer cut, with OnReadEnd closing at
// once.
Test(gone, caller_that_half_closes_while_it_reads_gets_the_whole_answer) {
  constexpr std::size_t kBody = 32UL * 1024 * 1024;
  TestClusterPlan plan;
  plan.caller_limits.max_body_bytes = kBody;
  TestCluster world(plan);
  world.StartAll();
  RawClient caller(world.loop(), world.address(), world.CallerPort(0));
  caller.Send(PostText("big", kBody) + GetText("behind"));
  cr_assert(world.Await([&] { return !caller.received().empty(); }));
  caller.HalfClose();
  cr_assert(world.Await([&] { return caller.IsClosed(); }));
  cr_assert(caller.HasReceived("end big"));
  cr_assert_eq(world.RunsOf("behind"), 0);
}

}  // namespace
}  // namespace pathcleat
