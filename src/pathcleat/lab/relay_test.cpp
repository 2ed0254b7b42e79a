// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// How hosts learn changes of the store from each other.

#include "test_cluster.hpp"

#include <algorithm>
#include <map>

namespace pathcleat {
namespace {

constexpr int kHosts = 12;
constexpr int kWatchers = 8;

TestClusterPlan LargeDomain() {
  TestClusterPlan plan;
  plan.hosts_in_domain = {kHosts};
  return plan;
}

void PutVersion(TestCluster& world, std::uint64_t version) {
  RoutingConfig config = world.config();
  config.version = version;
  world.platform().PutConfig(config);
}

bool AllAt(TestCluster& world, std::uint64_t version) {
  for (std::size_t i = 0; i < kHosts; ++i) {
    if (world.host(i).state().routes.version() != version) {
      return false;
    }
  }
  return true;
}

int Watching(TestCluster& world) {
  int watching = 0;
  for (std::size_t i = 0; i < kHosts; ++i) {
    const auto store = world.host(i).Versions().store_access;
    watching += store == StoreAccess::kWatching ? 1 : 0;
  }
  return watching;
}

// Calls that the store has answered: a watch from the start of the world, left
// for a relay's, may still be there to be cut.
std::uint64_t AnswersOfStore(const TestCluster& world, std::size_t host) {
  std::uint64_t answers = 0;
  for (const auto& [call, count] : world.StoreCallsOf(host).calls) {
    answers += call.second == StoreOutcome::kUnknown ? 0 : count;
  }
  return answers;
}

// At 80 hosts each with watches of its own the store's calls cost 0.16 to 0.50
// of a day's worth. Checked to fail with ChooseRelay always kStore.
Test(relay, changes_reach_all_hosts_with_the_calls_of_a_few) {
  TestCluster world(LargeDomain());
  world.StartAll();
  std::uint64_t version = 2;
  PutVersion(world, version);
  world.platform().PutUpstream(world.upstream_info(0));
  cr_assert(world.Await(
      [&] { return AllAt(world, version) && Watching(world) == kWatchers; }));
  const std::uint64_t before = world.platform().calls();
  constexpr int kChanges = 3;
  for (int i = 0; i < kChanges; ++i) {
    PutVersion(world, ++version);
    cr_assert(world.Await([&] { return AllAt(world, version); }));
  }
  // Watches on both topics may still have to begin again after the first.
  constexpr int kRounds = kChanges + 2;
  cr_assert_leq(world.platform().calls() - before, kRounds * kWatchers);
}

Test(relay, hosts_that_the_store_turns_away_follow_the_rest) {
  TestCluster world(LargeDomain());
  world.StartAll();
  platform::StandInFaults away;
  for (std::size_t i = 0; i + 2 < kHosts; ++i) {
    away.rejected_addresses.insert(TestCluster::StoreClientAddress(i));
  }
  world.platform().SetFaults(away);
  for (std::uint64_t version = 2; version < 5; ++version) {
    PutVersion(world, version);
    cr_assert(world.Await([&] { return AllAt(world, version); }));
  }
  UpstreamInfo leaving = world.upstream_info(0);
  leaving.leaving = true;
  world.platform().PutUpstream(leaving);
  cr_assert(world.Await([&] {
    for (std::size_t i = 0; i < kHosts; ++i) {
      if (!world.HasEvent(i, EventCode::kUpstreamLeaving)) {
        return false;
      }
    }
    return true;
  }));
}

// The upstreams' list and the configuration came late to most hosts of a fleet,
// and half of the callers waited, after the store had cut all watches and
// dropped its history: each relay took the store for gone, turned its followers
// away, and these read everything from the store themselves, 1 MB each over
// links of 10 Mbit/s.
Test(relay, watches_that_the_store_cuts_send_no_follower_there) {
  TestCluster world(LargeDomain());
  world.StartAll();
  PutVersion(world, 2);
  cr_assert(world.Await(
      [&] { return AllAt(world, 2) && Watching(world) == kWatchers; }));
  std::map<std::size_t, std::uint64_t> answers_to_followers;
  for (std::size_t i = 0; i < kHosts; ++i) {
    if (world.host(i).Versions().store_access == StoreAccess::kFollowingPeer) {
      answers_to_followers[i] = AnswersOfStore(world, i);
    }
  }
  cr_assert_eq(answers_to_followers.size(), kHosts - kWatchers);
  for (std::uint64_t version = 3; version < 6; ++version) {
    world.platform().CloseFeeds();
    world.platform().ForgetHistory();
    PutVersion(world, version);
    cr_assert(world.Await(
        [&] { return AllAt(world, version) && Watching(world) == kWatchers; }));
  }
  for (const auto& [host, answers] : answers_to_followers) {
    cr_assert_eq(AnswersOfStore(world, host), answers);
  }
}

// The store refuses everything, and a host has noticed.
void TakeStoreAway(TestCluster& world) {
  platform::StandInFaults busy;
  busy.forced_status = http_status::kUnavailable;
  world.platform().SetFaults(busy);
  PutVersion(world, 2);
  cr_assert(
      world.Await([&] { return world.HasEvent(0, EventCode::kPlatformDown); }));
}

// The store is away, and its list of upstreams runs out meanwhile.
void LoseList(TestCluster& world) {
  TakeStoreAway(world);
  for (std::size_t i = 0; i < world.upstream_count(); ++i) {
    world.platform().RemoveUpstream(world.upstream_info(i).id);
  }
  world.platform().SetFaults({});
  cr_assert(world.Await([&] {
    const auto all = world.host(0).state().upstreams.All();
    return std::any_of(all.begin(), all.end(), [](const UpstreamPtr& upstream) {
      return upstream->lapse_deadline.has_value();
    });
  }));
}

// Checked to fail with the entries removed at once.
Test(relay, upstreams_whose_entries_lapsed_are_used_until_they_are_back) {
  TestCluster world;
  world.StartAll();
  LoseList(world);
  cr_assert_eq(world.Get(0, "r1").response.status, http_status::kOk);
  for (std::size_t i = 0; i < world.upstream_count(); ++i) {
    world.platform().PutUpstream(world.upstream_info(i));
  }
  cr_assert(world.Await([&] {
    const auto all = world.host(0).state().upstreams.All();
    return std::none_of(all.begin(), all.end(), [](const UpstreamPtr& u) {
      return u->lapse_deadline.has_value();
    });
  }));
  cr_assert_eq(world.host(0).state().upstreams.size(), world.upstream_count());
  cr_assert_not(world.HasEvent(0, EventCode::kUpstreamGone));
}

Test(relay, upstreams_that_do_not_come_back_are_gone) {
  TestCluster world;
  world.StartAll();
  LoseList(world);
  cr_assert(
      world.Await([&] { return world.host(0).state().upstreams.size() == 0; }));
  cr_assert_eq(world.Get(0, "r1").response.status, http_status::kUnavailable);
}

// A host that kept one upstream of many for its entry to come back sent it a
// request 60 ms too late (DRAIN at Heathermoor, hunt-243b-23).
Test(relay, single_upstream_that_left_while_the_store_was_away_is_gone) {
  TestClusterPlan plan;
  plan.upstreams_in_domain = 6;
  TestCluster world(plan);
  world.StartAll();
  TakeStoreAway(world);
  world.platform().RemoveUpstream(world.upstream_info(0).id);
  world.platform().SetFaults({});
  bool lapsed = false;
  cr_assert(world.Await([&] {
    for (const UpstreamPtr& upstream : world.host(0).state().upstreams.All()) {
      lapsed = lapsed || upstream->lapse_deadline.has_value();
    }
    return world.HasEvent(0, EventCode::kUpstreamGone);
  }));
  cr_assert_not(lapsed);
}

}  // namespace
}  // namespace pathcleat
