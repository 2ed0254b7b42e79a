// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/heartbeat_plan.hpp"

#include "heartbeat_fleet.hpp"

#include "pathcleat/core/hash.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

// Datagrams per second that one host receives, the middle one in the node list.
int ReceivedPerSecond(int per_domain) {
  constexpr int kSeconds = 4;
  HeartbeatFleet fleet(1, per_domain);
  // Run until no host is new.
  fleet.Run(Duration(5'000'000));
  for (HeartbeatNode& node : fleet.nodes) {
    node.received = 0;
  }
  fleet.Run(Duration(1'000'000) * kSeconds);
  return fleet.nodes[static_cast<std::size_t>(per_domain) / 2].received /
         kSeconds;
}

// Guards against heartbeat traffic that grows with the domain: heartbeats to
// all hosts were 218 datagrams per second each way in a domain of 109 hosts,
// and twice that in a domain of twice the size. Fails with
// HeartbeatPlan::IsLarge always false.
Test(heartbeat_plan, traffic_in_a_large_domain_does_not_grow_with_it) {
  constexpr int kMaxPerSecond = 12;
  cr_assert_leq(ReceivedPerSecond(109), kMaxPerSecond);
  cr_assert_leq(ReceivedPerSecond(218), kMaxPerSecond);
  cr_assert_geq(ReceivedPerSecond(30), 58);
}

// All hosts that receive the heartbeats of a large domain die at the same
// moment; the living hosts must not time out. Fails with heartbeats sent only
// to the highest-ranked hosts of the domain when no report arrives.
Test(heartbeat_plan, loss_of_all_heartbeat_receivers_hides_no_living_host) {
  constexpr int kHosts = 60;
  HeartbeatFleet fleet(2, kHosts);
  fleet.Run(Duration(5'000'000));
  const HeartbeatNode& last = fleet.nodes[kHosts - 1];
  const auto receivers = last.plan->Receivers(fleet.now);
  cr_assert_eq(receivers.size(), 4U);
  for (const std::string& address : receivers) {
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

// One datagram in twenty is lost. Guards against living hosts that time out.
Test(heartbeat_plan, lost_datagrams_hide_no_host_of_a_large_domain) {
  std::uint64_t hash_input = 1;
  HeartbeatFleet fleet(1, 60);
  fleet.is_lost = [&hash_input] {
    return MixHashes(++hash_input, 7) % 20 == 0;
  };
  fleet.Run(Duration(3'000'000));
  fleet.Run(Duration(15'000'000), [&] {
    for (const HeartbeatNode& node : fleet.nodes) {
      cr_assert_eq(fleet.AliveCount(node), fleet.RunningCount());
    }
  });
}

}  // namespace
}  // namespace pathcleat
