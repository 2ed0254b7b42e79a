// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// How hosts receive changes of the store through each other.

#include "test_cluster.hpp"

#include <algorithm>
#include <map>

namespace pathcleat {
namespace {

constexpr int kHosts = 12;
constexpr int kWatchers = 8;

TestClusterPlan LargeDomainPlan() {
  TestClusterPlan plan;
  plan.hosts_in_domain = {kHosts};
  return plan;
}

void PutVersion(TestCluster& cluster, std::uint64_t version) {
  RoutingConfig config = cluster.config();
  config.version = version;
  cluster.platform().PutConfig(config);
}

bool AllHaveVersion(TestCluster& cluster, std::uint64_t version) {
  for (std::size_t i = 0; i < kHosts; ++i) {
    if (cluster.host(i).state().routes.version() != version) {
      return false;
    }
  }
  return true;
}

int WatchingCount(TestCluster& cluster) {
  int watching = 0;
  for (std::size_t i = 0; i < kHosts; ++i) {
    const auto store = cluster.host(i).Versions().store_access;
    watching += store == StoreAccess::kWatching ? 1 : 0;
  }
  return watching;
}

// Counts only calls that the store has answered: a watch that a host opened at
// its start and abandoned for that of a relay may still be open, and closed
// later.
std::uint64_t AnsweredStoreCalls(const TestCluster& cluster, std::size_t host) {
  std::uint64_t answers = 0;
  for (const auto& [call, count] : cluster.StoreCallsOf(host).calls) {
    answers += call.second == StoreOutcome::kUnknown ? 0 : count;
  }
  return answers;
}

// With 80 hosts that all watch the store themselves, the calls to the store
// cost 0.16 to 0.50 of a day's worth. Fails if ChooseRelay always returns
// kStore.
Test(relay, changes_reach_all_hosts_with_the_calls_of_a_few) {
  TestCluster cluster(LargeDomainPlan());
  cluster.StartAll();
  std::uint64_t version = 2;
  PutVersion(cluster, version);
  cluster.platform().PutUpstream(cluster.upstream_info(0));
  cr_assert(cluster.Await([&] {
    return AllHaveVersion(cluster, version) &&
           WatchingCount(cluster) == kWatchers;
  }));
  const std::uint64_t before = cluster.platform().calls();
  constexpr int kChanges = 3;
  for (int i = 0; i < kChanges; ++i) {
    PutVersion(cluster, ++version);
    cr_assert(cluster.Await([&] { return AllHaveVersion(cluster, version); }));
  }
  // Each watcher has a watch on two topics, and both may still have to be
  // reopened after the first change.
  constexpr int kMaxCallsPerWatcher = kChanges + 2;
  cr_assert_leq(cluster.platform().calls() - before,
                kMaxCallsPerWatcher * kWatchers);
}

Test(relay, hosts_that_the_store_rejects_follow_the_others) {
  TestCluster cluster(LargeDomainPlan());
  cluster.StartAll();
  platform::StandInFaults faults;
  for (std::size_t i = 0; i + 2 < kHosts; ++i) {
    faults.rejected_addresses.insert(TestCluster::StoreClientAddress(i));
  }
  cluster.platform().SetFaults(faults);
  for (std::uint64_t version = 2; version < 5; ++version) {
    PutVersion(cluster, version);
    cr_assert(cluster.Await([&] { return AllHaveVersion(cluster, version); }));
  }
  UpstreamInfo leaving = cluster.upstream_info(0);
  leaving.leaving = true;
  cluster.platform().PutUpstream(leaving);
  cr_assert(cluster.Await([&] {
    for (std::size_t i = 0; i < kHosts; ++i) {
      if (!cluster.HasEvent(i, EventCode::kUpstreamLeaving)) {
        return false;
      }
    }
    return true;
  }));
}

// Guards against a late list of upstreams and a late configuration at most
// hosts after the store has closed all watches and dropped its history: if each
// relay considers the store down and rejects its followers, the followers read
// everything from the store themselves, 1 MB each over links of 10 Mbit/s, and
// half of the callers wait.
Test(relay, closed_watches_send_no_follower_to_the_store) {
  TestCluster cluster(LargeDomainPlan());
  cluster.StartAll();
  PutVersion(cluster, 2);
  cr_assert(cluster.Await([&] {
    return AllHaveVersion(cluster, 2) && WatchingCount(cluster) == kWatchers;
  }));
  std::map<std::size_t, std::uint64_t> answers_to_followers;
  for (std::size_t i = 0; i < kHosts; ++i) {
    if (cluster.host(i).Versions().store_access ==
        StoreAccess::kFollowingPeer) {
      answers_to_followers[i] = AnsweredStoreCalls(cluster, i);
    }
  }
  cr_assert_eq(answers_to_followers.size(), kHosts - kWatchers);
  for (std::uint64_t version = 3; version < 6; ++version) {
    cluster.platform().CloseFeeds();
    cluster.platform().ForgetHistory();
    PutVersion(cluster, version);
    cr_assert(cluster.Await([&] {
      return AllHaveVersion(cluster, version) &&
             WatchingCount(cluster) == kWatchers;
    }));
  }
  for (const auto& [host, answers] : answers_to_followers) {
    cr_assert_eq(AnsweredStoreCalls(cluster, host), answers);
  }
}

// Makes the store refuse all calls and waits until a host has detected that.
void MakeStoreUnavailable(TestCluster& cluster) {
  platform::StandInFaults faults;
  faults.forced_status = http_status::kUnavailable;
  cluster.platform().SetFaults(faults);
  PutVersion(cluster, 2);
  cr_assert(cluster.Await(
      [&] { return cluster.HasEvent(0, EventCode::kPlatformDown); }));
}

// Makes the store lose its list of upstreams while it refuses all calls.
void LoseUpstreamList(TestCluster& cluster) {
  MakeStoreUnavailable(cluster);
  for (std::size_t i = 0; i < cluster.upstream_count(); ++i) {
    cluster.platform().RemoveUpstream(cluster.upstream_info(i).id);
  }
  cluster.platform().SetFaults({});
  cr_assert(cluster.Await([&] {
    const auto all = cluster.host(0).state().upstreams.All();
    return std::any_of(all.begin(), all.end(), [](const UpstreamPtr& upstream) {
      return upstream->lapse_deadline.has_value();
    });
  }));
}

// Guards against hosts that drop all upstreams because their entries expired
// while the store was down. Fails if the entries are removed at once.
Test(relay, upstreams_with_lapsed_entries_are_used_until_listed_again) {
  TestCluster cluster;
  cluster.StartAll();
  LoseUpstreamList(cluster);
  cr_assert_eq(cluster.Get(0, "r1").response.status, http_status::kOk);
  for (std::size_t i = 0; i < cluster.upstream_count(); ++i) {
    cluster.platform().PutUpstream(cluster.upstream_info(i));
  }
  cr_assert(cluster.Await([&] {
    const auto all = cluster.host(0).state().upstreams.All();
    return std::none_of(all.begin(), all.end(), [](const UpstreamPtr& u) {
      return u->lapse_deadline.has_value();
    });
  }));
  cr_assert_eq(cluster.host(0).state().upstreams.size(),
               cluster.upstream_count());
  cr_assert_not(cluster.HasEvent(0, EventCode::kUpstreamGone));
}

Test(relay, upstreams_that_are_not_listed_again_are_removed) {
  TestCluster cluster;
  cluster.StartAll();
  LoseUpstreamList(cluster);
  cr_assert(cluster.Await(
      [&] { return cluster.host(0).state().upstreams.size() == 0; }));
  cr_assert_eq(cluster.Get(0, "r1").response.status, http_status::kUnavailable);
}

// Guards against a host that takes an entry for gone which was removed and put
// again before the store answered the host's watch: the host closed the
// upstream's connections, forgot what it had learnt of it and logged that it
// had left.
Test(relay, entry_that_returns_in_the_same_answer_was_never_gone) {
  TestCluster cluster;
  cluster.StartAll();
  const std::string& id = cluster.upstream_info(0).id;
  const UpstreamPtr before = cluster.host(0).state().upstreams.Find(id);
  cr_assert_not_null(before);
  // The watch pauses after a change, so the next answer holds both changes.
  UpstreamInfo other = cluster.upstream_info(1);
  other.leaving = true;
  cluster.platform().PutUpstream(other);
  cr_assert(cluster.Await(
      [&] { return cluster.HasEvent(0, EventCode::kUpstreamLeaving); }));
  cluster.platform().RemoveUpstream(id);
  cluster.platform().PutUpstream(cluster.upstream_info(0));
  const std::uint64_t version = cluster.host(0).Versions().upstreams;
  cr_assert(cluster.Await(
      [&] { return cluster.host(0).Versions().upstreams > version; }));
  cr_assert_not(cluster.HasEvent(0, EventCode::kUpstreamGone));
  cr_assert_eq(cluster.host(0).state().upstreams.Find(id), before);
}

// If only one upstream of many is missing after an outage of the store, the
// upstream has left. Guards against a host that keeps it in case its entry
// returns, and sends it a request 60 ms too late.
Test(relay, single_upstream_that_left_while_the_store_was_down_is_removed) {
  TestClusterPlan plan;
  plan.upstreams_in_domain = 6;
  TestCluster cluster(plan);
  cluster.StartAll();
  MakeStoreUnavailable(cluster);
  cluster.platform().RemoveUpstream(cluster.upstream_info(0).id);
  cluster.platform().SetFaults({});
  bool lapsed = false;
  cr_assert(cluster.Await([&] {
    for (const UpstreamPtr& upstream :
         cluster.host(0).state().upstreams.All()) {
      lapsed = lapsed || upstream->lapse_deadline.has_value();
    }
    return cluster.HasEvent(0, EventCode::kUpstreamGone);
  }));
  cr_assert_not(lapsed);
}

}  // namespace
}  // namespace pathcleat
