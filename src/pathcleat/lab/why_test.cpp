// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// A failed request's cause from the hosts' logs alone.

#include "test_cluster.hpp"

#include <log4cplus/appender.h>
#include <log4cplus/spi/loggingevent.h>
#include <algorithm>
#include <sstream>

#include "pathcleat/query/request_diagnosis.hpp"

namespace pathcleat {
namespace {

// Keeps what all hosts of a test log, as a collector would.
class Collector : public log4cplus::Appender {
 public:
  ~Collector() override { destructorImpl(); }
  void close() override { closed = true; }
  std::string text;

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    text += event.getMessage() + "\n";
  }
};

struct CollectedLogs {
  CollectedLogs() {
    SilenceLog();
    log4cplus::Logger::getRoot().addAppender(appender);
  }
  ~CollectedLogs() { log4cplus::Logger::getRoot().removeAppender(appender); }

  RequestDiagnosis StoryOf(const std::string& run_id) const {
    std::istringstream stream(collector->text);
    MergedLog log;
    ReadLog(stream, log);
    SortByTime(log);
    return DiagnoseRequest(log, "id-" + run_id);
  }

  Collector* collector = new Collector;  // owned by appender
  log4cplus::SharedAppenderPtr appender{collector};
};

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

Test(why, refused_under_overload) {
  const CollectedLogs logs;
  TestClusterPlan plan;
  plan.upstreams_in_domain = 1;
  plan.slots = 1;
  TestCluster world(plan);
  world.StartAll();
  world.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
  constexpr int kRequests = 40;
  std::vector<CallResult> results(kRequests);
  int ended = 0;
  std::vector<HttpClientPtr> clients;
  for (int i = 0; i < kRequests; ++i) {
    clients.push_back(std::make_shared<HttpClient>(
        world.loop(),
        *ParseTcpEndpoint(world.address() + ":" +
                          std::to_string(world.CallerPort(0))),
        HttpLimits()));
    clients.back()->Send(world.PostRequest("r" + std::to_string(i)),
                         {std::chrono::seconds(60), std::chrono::seconds(60)},
                         [&, i](const CallResult& result) {
                           results[i] = result;
                           ++ended;
                         });
  }
  cr_assert(world.Await([&] { return ended == kRequests; }));
  const auto refused = std::find_if(
      results.begin(), results.end(), [](const CallResult& result) {
        return result.response.status == http_status::kUnavailable;
      });
  cr_assert(refused != results.end());
  const auto index = refused - results.begin();
  const RequestDiagnosis story = logs.StoryOf("r" + std::to_string(index));
  cr_assert(story.causes[0].cause == RequestCause::kOverload);
  cr_assert(Has(story.causes[0].explanation, "the best of 1 upstreams"));
  cr_assert(Has(story.lines.front().name, "request-taken"));
}

Test(why, answer_lost_so_outcome_unknown) {
  const CollectedLogs logs;
  TestCluster world;
  world.StartAll();
  world.ForEachUpstream([](UpstreamStandIn& u) {
    u.CorruptAnswers(AnswerCorruption::kNoAnswer);
  });
  cr_assert_eq(world.Post(0, "r1").response.status, http_status::kBadGateway);
  const RequestDiagnosis story = logs.StoryOf("r1");
  cr_assert(story.causes[0].cause == RequestCause::kLostAnswer);
  cr_assert(Has(story.causes[0].explanation, "sent to upstream-0-"));
}

// Host 0 is cut off: the store turns it away and no host hears it.
struct CutOffWorld {
  CutOffWorld() : world(Plan()) {
    world.StartHost(0);
    world.StartHost(1);
    cr_assert(world.Await(
        [this] { return world.host(0).IsReady() && world.host(1).IsReady(); }));
    platform::StandInFaults away;
    away.rejected_addresses = {TestCluster::StoreClientAddress(0)};
    world.platform().SetFaults(away);
    // What waits at the store already may still be told of one change.
    PutVersion(2);
    world.platform().PutUpstream(world.upstream_info(0));
    cr_assert(world.Await([this] {
      return world.HasEvent(0, EventCode::kPlatformDown) &&
             world.host(1).state().routes.version() == 2;
    }));
  }

  static TestClusterPlan Plan() {
    TestClusterPlan plan;
    plan.isolated_hosts = {0};
    plan.upstreams_in_domain = 1;
    return plan;
  }

  void PutVersion(std::uint64_t version) {
    RoutingConfig config = world.config();
    config.version = version;
    world.platform().PutConfig(config);
  }

  TestCluster world;
};

Test(why, handled_by_an_old_configuration) {
  const CollectedLogs logs;
  CutOffWorld cut_off;
  TestCluster& world = cut_off.world;
  cut_off.PutVersion(3);
  cr_assert(
      world.Await([&] { return world.host(1).state().routes.version() == 3; }));
  world.ForEachUpstream([](UpstreamStandIn& u) {
    u.CorruptAnswers(AnswerCorruption::kNoAnswer);
  });
  world.Post(0, "r1");
  const RequestDiagnosis story = logs.StoryOf("r1");
  cr_assert(story.causes[0].cause == RequestCause::kStaleConfig);
  cr_assert(
      Has(story.causes[0].explanation, "3 had been in force at host-0-1"));
}

Test(why, sent_to_a_leaving_upstream) {
  const CollectedLogs logs;
  CutOffWorld cut_off;
  TestCluster& world = cut_off.world;
  UpstreamInfo leaving = world.upstream_info(0);
  leaving.leaving = true;
  world.platform().PutUpstream(leaving);
  cr_assert(world.Await(
      [&] { return world.HasEvent(1, EventCode::kUpstreamLeaving); }));
  world.ForEachUpstream([](UpstreamStandIn& u) {
    u.CorruptAnswers(AnswerCorruption::kNoAnswer);
  });
  world.Post(0, "r1");
  const RequestDiagnosis story = logs.StoryOf("r1");
  cr_assert(story.causes[0].cause == RequestCause::kLeavingUpstream);
  cr_assert(Has(story.causes[0].explanation, "host-0-1 had known"));
}

}  // namespace
}  // namespace pathcleat
