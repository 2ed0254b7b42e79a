// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/heartbeat_plan.hpp"

#include "heartbeat_fleet.hpp"

#include "pathcleat/core/hash.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

// Datagrams that the middle host of a domain takes in a second.
int TakenASecond(int per_domain) {
  constexpr int kSeconds = 4;
  HeartbeatFleet fleet(1, per_domain);
  // Until nobody is new.
  fleet.Run(Duration(5'000'000));
  for (HeartbeatNode& node : fleet.nodes) {
    node.received = 0;
  }
  fleet.Run(Duration(1'000'000) * kSeconds);
  return fleet.nodes[static_cast<std::size_t>(per_domain) / 2].received /
         kSeconds;
}

// Heartbeats to all were 218 datagrams a second each way in a domain of 109
// hosts, and twice that in one of twice the size.
// Checked to fail with HeartbeatPlan::IsLarge always false.
Test(heartbeat_plan, talk_in_a_large_domain_does_not_grow_with_it) {
  constexpr int kMost = 12;
  cr_assert_leq(TakenASecond(109), kMost);
  cr_assert_leq(TakenASecond(218), kMost);
  cr_assert_geq(TakenASecond(30), 58);
}

// All hosts that hear the others directly die at one moment.
// Checked to fail with heartbeats going to the first of the domain alone where
// no report comes.
Test(heartbeat_plan, loss_of_all_that_hear_a_large_domain_hides_nobody) {
  constexpr int kHosts = 60;
  HeartbeatFleet fleet(2, kHosts);
  fleet.Run(Duration(5'000'000));
  const HeartbeatNode& last = fleet.nodes[kHosts - 1];
  const auto heard_by = last.plan->Receivers(fleet.now);
  cr_assert_eq(heard_by.size(), 4U);
  for (const std::string& address : heard_by) {
    fleet.Find(address)->is_running = false;
  }
  fleet.Run(Duration(6'000'000), [&] {
    for (const HeartbeatNode& node : fleet.nodes) {
      cr_assert(!node.is_running ||
                fleet.AliveCount(node) >= fleet.RunningCount());
    }
  });
  for (const HeartbeatNode& node : fleet.nodes) {
    cr_assert(!node.is_running ||
              fleet.AliveCount(node) == fleet.RunningCount());
  }
}

// One datagram in twenty is lost.
Test(heartbeat_plan, lost_datagrams_hide_nobody_in_a_large_domain) {
  std::uint64_t draws = 1;
  HeartbeatFleet fleet(1, 60);
  fleet.is_lost = [&draws] { return MixHashes(++draws, 7) % 20 == 0; };
  fleet.Run(Duration(3'000'000));
  fleet.Run(Duration(15'000'000), [&] {
    for (const HeartbeatNode& node : fleet.nodes) {
      cr_assert_eq(fleet.AliveCount(node), fleet.RunningCount());
    }
  });
}

}  // namespace
}  // namespace pathcleat
