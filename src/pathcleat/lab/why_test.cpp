// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Diagnosis of a failed request from the logs of the hosts alone.

#include "test_cluster.hpp"

#include <log4cplus/appender.h>
#include <log4cplus/spi/loggingevent.h>
#include <algorithm>
#include <sstream>

#include "pathcleat/query/request_diagnosis.hpp"

namespace pathcleat {
namespace {

// Collects the log lines of all hosts of a test, as a log collector does.
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

  RequestDiagnosis Diagnose(const std::string& run_id) const {
    std::istringstream stream(collector->text);
    MergedLog log;
    ReadLog(stream, log);
    SortByTime(log);
    return DiagnoseRequest(log, "id-" + run_id);
  }

  Collector* collector = new Collector;  // owned by appender
  log4cplus::SharedAppenderPtr appender{collector};
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

Test(why, refused_under_overload) {
  const CollectedLogs logs;
  TestClusterPlan plan;
  plan.upstreams_in_domain = 1;
  plan.slots = 1;
  TestCluster cluster(plan);
  cluster.StartAll();
  cluster.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
  constexpr int kRequests = 40;
  std::vector<CallResult> results(kRequests);
  int ended = 0;
  std::vector<HttpClientPtr> clients;
  for (int i = 0; i < kRequests; ++i) {
    clients.push_back(std::make_shared<HttpClient>(
        cluster.loop(),
        *ParseTcpEndpoint(cluster.address() + ":" +
                          std::to_string(cluster.CallerPort(0))),
        HttpLimits()));
    clients.back()->Send(cluster.PostRequest("r" + std::to_string(i)),
                         {std::chrono::seconds(60), std::chrono::seconds(60)},
                         [&, i](const CallResult& result) {
                           results[i] = result;
                           ++ended;
                         });
  }
  cr_assert(cluster.Await([&] { return ended == kRequests; }));
  const auto refused = std::find_if(
      results.begin(), results.end(), [](const CallResult& result) {
        return result.response.status == http_status::kUnavailable;
      });
  cr_assert(refused != results.end());
  const auto index = refused - results.begin();
  const RequestDiagnosis diagnosis = logs.Diagnose("r" + std::to_string(index));
  cr_assert(diagnosis.causes[0].cause == RequestCause::kOverload);
  cr_assert(
      Contains(diagnosis.causes[0].explanation, "the best of 1 upstreams"));
  cr_assert(Contains(diagnosis.lines.front().name, "request-taken"));
}

Test(why, answer_lost_so_outcome_unknown) {
  const CollectedLogs logs;
  TestCluster cluster;
  cluster.StartAll();
  cluster.ForEachUpstream([](UpstreamStandIn& u) {
    u.CorruptAnswers(AnswerCorruption::kNoAnswer);
  });
  cr_assert_eq(cluster.Post(0, "r1").response.status, http_status::kBadGateway);
  const RequestDiagnosis diagnosis = logs.Diagnose("r1");
  cr_assert(diagnosis.causes[0].cause == RequestCause::kLostAnswer);
  cr_assert(Contains(diagnosis.causes[0].explanation, "sent to upstream-0-"));
}

// Host 0 is isolated: the store rejects it, and no host receives its messages.
struct IsolatedHostFixture {
  IsolatedHostFixture() : cluster(Plan()) {
    cluster.StartHost(0);
    cluster.StartHost(1);
    cr_assert(cluster.Await([this] {
      return cluster.host(0).IsReady() && cluster.host(1).IsReady();
    }));
    platform::StandInFaults faults;
    faults.rejected_addresses = {TestCluster::StoreClientAddress(0)};
    cluster.platform().SetFaults(faults);
    // Watches that are already open at the store may still deliver one change.
    PutVersion(2);
    cluster.platform().PutUpstream(cluster.upstream_info(0));
    cr_assert(cluster.Await([this] {
      return cluster.HasEvent(0, EventCode::kPlatformDown) &&
             cluster.host(1).state().routes.version() == 2;
    }));
  }

  static TestClusterPlan Plan() {
    TestClusterPlan plan;
    plan.isolated_hosts = {0};
    plan.upstreams_in_domain = 1;
    return plan;
  }

  void PutVersion(std::uint64_t version) {
    RoutingConfig config = cluster.config();
    config.version = version;
    cluster.platform().PutConfig(config);
  }

  TestCluster cluster;
};

Test(why, handled_by_an_old_configuration) {
  const CollectedLogs logs;
  IsolatedHostFixture fixture;
  TestCluster& cluster = fixture.cluster;
  fixture.PutVersion(3);
  cr_assert(cluster.Await(
      [&] { return cluster.host(1).state().routes.version() == 3; }));
  cluster.ForEachUpstream([](UpstreamStandIn& u) {
    u.CorruptAnswers(AnswerCorruption::kNoAnswer);
  });
  cluster.Post(0, "r1");
  const RequestDiagnosis diagnosis = logs.Diagnose("r1");
  cr_assert(diagnosis.causes[0].cause == RequestCause::kStaleConfig);
  cr_assert(Contains(diagnosis.causes[0].explanation,
                     "3 had been in force at host-0-1"));
}

Test(why, sent_to_a_leaving_upstream) {
  const CollectedLogs logs;
  IsolatedHostFixture fixture;
  TestCluster& cluster = fixture.cluster;
  UpstreamInfo leaving = cluster.upstream_info(0);
  leaving.leaving = true;
  cluster.platform().PutUpstream(leaving);
  cr_assert(cluster.Await(
      [&] { return cluster.HasEvent(1, EventCode::kUpstreamLeaving); }));
  cluster.ForEachUpstream([](UpstreamStandIn& u) {
    u.CorruptAnswers(AnswerCorruption::kNoAnswer);
  });
  cluster.Post(0, "r1");
  const RequestDiagnosis diagnosis = logs.Diagnose("r1");
  cr_assert(diagnosis.causes[0].cause == RequestCause::kLeavingUpstream);
  cr_assert(Contains(diagnosis.causes[0].explanation, "host-0-1 had known"));
}

}  // namespace
}  // namespace pathcleat
