// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// A key that the configuration removes is refused at every host within the
// bound on revocation, counted from the store's acknowledgement.

#include "test_cluster.hpp"

#include <numeric>

namespace pathcleat {
namespace {

// docs/design/new-customers.md: `Revoke`.
constexpr Duration kRevoke{5'000'000};
constexpr const char* kRemovedKey = "key-removed-later";
constexpr const char* kKeptKey = "key-that-stays";

// A caller with one open connection to a host.
class OpenCaller {
 public:
  OpenCaller(TestCluster& cluster, std::size_t host)
      : cluster_(cluster),
        client_(std::make_shared<HttpClient>(
            cluster.loop(),
            *ParseTcpEndpoint(cluster.address() + ":" +
                              std::to_string(cluster.CallerPort(host))),
            HttpLimits())) {}
  ~OpenCaller() { client_->Cancel(); }
  OpenCaller(const OpenCaller&) = delete;
  OpenCaller& operator=(const OpenCaller&) = delete;

  /// Status of a request with the key; 0 if no answer arrived.
  int Status(const std::string& run, const std::string& key) {
    HttpRequest request = cluster_.GetRequest(run);
    request.headers.push_back({"Authorization", "Bearer " + key});
    bool done = false;
    CallResult result;
    client_->Send(request, {std::chrono::seconds(60), std::chrono::seconds(60)},
                  [&](const CallResult& call_result) {
                    result = call_result;
                    done = true;
                  });
    cr_assert(cluster_.Await([&] { return done; }));
    return result.outcome == CallOutcome::kAnswered ? result.response.status
                                                    : 0;
  }

  bool IsOpen() const { return client_->IsReusable(); }

 private:
  TestCluster& cluster_;
  HttpClientPtr client_;
};

TestClusterPlan MakePlan(const std::vector<int>& hosts_in_domain) {
  TestClusterPlan plan;
  plan.hosts_in_domain = hosts_in_domain;
  plan.revoke = kRevoke;
  return plan;
}

// A cluster with an account that loses a key and one that keeps its key.
class RevocationCluster {
 public:
  explicit RevocationCluster(const TestClusterPlan& plan)
      : cluster(plan),
        host_count(static_cast<std::size_t>(
            std::accumulate(plan.hosts_in_domain.begin(),
                            plan.hosts_in_domain.end(),
                            0))) {
    for (const char* name : {"loses", "keeps"}) {
      Account account;
      account.name = name;
      cluster.config().accounts.push_back(account);
    }
    keys = {{"loses", {kRemovedKey, "key-next"}}, {"keeps", {kKeptKey}}};
    Publish();
  }

  void Publish() {
    ++cluster.config().version;
    cluster.platform().PutConfig(cluster.config(), keys);
    acknowledged_at = BootClock::now();
  }

  void RemoveKey() {
    keys["loses"] = {"key-next"};
    Publish();
  }

  /// Starts the first hosts and opens a connection to each.
  void Start(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      cluster.StartHost(i);
    }
    cr_assert(cluster.Await([&] {
      for (std::size_t i = 0; i < count; ++i) {
        if (!cluster.host(i).IsReady() ||
            cluster.host(i).Versions().config != cluster.config().version) {
          return false;
        }
      }
      return true;
    }));
    Connect(count);
  }

  void Connect(std::size_t count) {
    callers.clear();
    for (std::size_t i = 0; i < count; ++i) {
      callers.push_back(std::make_unique<OpenCaller>(cluster, i));
      cr_assert_eq(callers[i]->Status(NextRun(), kRemovedKey),
                   http_status::kOk);
    }
  }

  /// Rejects the calls of some hosts, also those that already wait.
  void RejectAtStore(const std::set<std::size_t>& hosts,
                     platform::Rejection rejection) {
    platform::StandInFaults faults;
    faults.rejection = rejection;
    for (const std::size_t host : hosts) {
      faults.rejected_addresses.insert(TestCluster::StoreClientAddress(host));
    }
    cluster.platform().SetFaults(faults);
    cluster.platform().RejectWaitingFeeds();
  }

  /// Asserts that every connected host refuses the removed key within the
  /// bound and from then on, and serves the other key in the end.
  void AssertRevoked(const char* what) {
    AssertRefused(what);
    AssertOtherKeyServed(what);
  }

  void AssertRefused(const char* what) {
    std::vector<bool> refuses(callers.size());
    Time last_served = acknowledged_at;
    while (std::count(refuses.begin(), refuses.end(), false) > 0) {
      for (std::size_t i = 0; i < callers.size(); ++i) {
        const Time sent = BootClock::now();
        const int status = callers[i]->Status(NextRun(), kRemovedKey);
        refuses[i] = status != http_status::kOk;
        last_served = refuses[i] ? last_served : sent;
        cr_assert(refuses[i] || sent - acknowledged_at <= kRevoke,
                  "%s: host %zu serves the key %.1f s later", what, i,
                  ToMilliseconds(sent - acknowledged_at) / 1'000);
      }
    }
    cr_log_info("%s: last served %.0f ms after the acknowledgement\n", what,
                ToMilliseconds(last_served - acknowledged_at));
  }

  void AssertOtherKeyServed(const char* what) {
    for (std::size_t i = 0; i < callers.size(); ++i) {
      cr_assert(cluster.Await([&] {
        cr_assert_neq(callers[i]->Status(NextRun(), kRemovedKey),
                      http_status::kOk, "%s: host %zu", what, i);
        return callers[i]->Status(NextRun(), kKeptKey) == http_status::kOk;
      }));
    }
  }

  std::string NextRun() { return "r" + std::to_string(++run); }

  TestCluster cluster;
  std::size_t host_count;
  platform::AccountKeys keys;
  Time acknowledged_at;
  std::vector<std::unique_ptr<OpenCaller>> callers;
  int run = 0;
};

// Guards against a host that identifies a caller once for each connection.
Test(revocation, open_connections_are_refused) {
  RevocationCluster revocation(MakePlan({3, 3}));
  revocation.Start(revocation.host_count);
  for (const auto& caller : revocation.callers) {
    cr_assert(caller->IsOpen());
  }
  revocation.RemoveKey();
  revocation.AssertRevoked("open connections");
}

// Guards against hosts that continue with the old keys because the store
// rejects them, although other hosts have the new ones.
Test(revocation, hosts_that_the_store_rejects_refuse) {
  using platform::Rejection;
  for (const Rejection rejection :
       {Rejection::kUnavailable, Rejection::kTooManyRequests, Rejection::kReset,
        Rejection::kSilence}) {
    RevocationCluster revocation(MakePlan({3, 3}));
    revocation.Start(revocation.host_count);
    revocation.RejectAtStore({0, 1, 2, 4}, rejection);
    revocation.RemoveKey();
    revocation.AssertRevoked("rejected hosts");
  }
}

// Guards against changes that are lost together with the history of the store.
Test(revocation, key_removed_together_with_the_history_is_refused) {
  RevocationCluster revocation(MakePlan({3, 3}));
  revocation.Start(revocation.host_count);
  revocation.RejectAtStore({0, 4}, platform::Rejection::kSilence);
  platform::StandInFaults outage;
  outage.forced_status = http_status::kUnavailable;
  revocation.cluster.platform().SetFaults(outage);
  revocation.cluster.platform().CloseFeeds();
  revocation.cluster.platform().ForgetHistory();
  revocation.RemoveKey();
  revocation.cluster.platform().ForgetHistory();
  revocation.RejectAtStore({0, 4}, platform::Rejection::kSilence);
  revocation.AssertRevoked("history lost");
}

// Guards against accounts without a key that are taken for callers without an
// account, or whose configuration is rejected.
Test(revocation, last_key_of_an_account_is_refused) {
  RevocationCluster revocation(MakePlan({2, 1}));
  revocation.Start(revocation.host_count);
  revocation.keys["loses"] = {};
  revocation.Publish();
  revocation.AssertRevoked("last key of an account");
}

// Without accounts, hosts serve callers without keys. Guards against a removed
// key that becomes valid again because its account was the last one. Fails
// without the comparison with `revoke` in Gateway::RequiresKeys.
Test(revocation, key_of_the_last_account_is_refused) {
  RevocationCluster revocation(MakePlan({2, 1}));
  revocation.Start(revocation.host_count);
  revocation.cluster.config().accounts.clear();
  revocation.keys.clear();
  revocation.Publish();
  TestCluster& cluster = revocation.cluster;
  for (const auto& caller : revocation.callers) {
    cr_assert(cluster.Await([&] {
      cr_assert(BootClock::now() - revocation.acknowledged_at <= kRevoke);
      return caller->Status(revocation.NextRun(), kRemovedKey) ==
             http_status::kUnauthorized;
    }));
  }
}

// Guards against hosts that start while other hosts still have the old keys,
// or while the store rejects them, and take the old keys from those. A killed
// host keeps no state, so it starts like these.
Test(revocation, hosts_that_start_refuse) {
  RevocationCluster revocation(MakePlan({3, 3}));
  revocation.Start(4);
  revocation.RejectAtStore({0, 3, 4}, platform::Rejection::kTooManyRequests);
  revocation.RemoveKey();
  for (const std::size_t host : {4U, 5U}) {
    revocation.cluster.StartHost(host);
    revocation.callers.push_back(
        std::make_unique<OpenCaller>(revocation.cluster, host));
  }
  revocation.AssertRefused("new hosts");
  // A host that the store has rejected since its start has no secrets, and
  // serves nobody.
  revocation.cluster.platform().SetFaults({});
  revocation.AssertOtherKeyServed("new hosts");
}

// 88 hosts in six failure domains. The store rejects a third of the hosts of
// each domain at the moment when the key is removed, and eight hosts start.
// Guards against a bound that holds for a few hosts alone.
Test(revocation, key_is_refused_at_88_hosts) {
  RevocationCluster revocation(MakePlan({16, 15, 15, 14, 14, 14}));
  constexpr std::size_t kNewHosts = 8;
  const std::size_t running = revocation.host_count - kNewHosts;
  cr_assert_eq(revocation.host_count, 88U);
  revocation.Start(running);
  std::set<std::size_t> rejected;
  for (std::size_t host = 0; host < revocation.host_count; host += 3) {
    rejected.insert(host);
  }
  revocation.RejectAtStore(rejected, platform::Rejection::kUnavailable);
  revocation.RemoveKey();
  for (std::size_t host = running; host < revocation.host_count; ++host) {
    revocation.cluster.StartHost(host);
    revocation.callers.push_back(
        std::make_unique<OpenCaller>(revocation.cluster, host));
  }
  revocation.AssertRefused("88 hosts");
  revocation.cluster.platform().SetFaults({});
  revocation.AssertOtherKeyServed("88 hosts");
}

}  // namespace
}  // namespace pathcleat
