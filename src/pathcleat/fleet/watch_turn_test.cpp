// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/watch_turn.hpp"

#include <set>

#include "heartbeat_fleet.hpp"
#include "pathcleat/fleet/host_rank.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

// Guards against two hosts with the same turn, whose answers then come together
// and leave a gap elsewhere.
Test(watch_turn, hosts_that_watch_the_store_have_different_turns) {
  cr_assert(Holds(
      "turns differ",
      [] {
        const int domains = *rc::gen::inRange(1, 12);
        HeartbeatFleet fleet(domains, *rc::gen::inRange(1, 8));
        fleet.Run(Duration(1'500'000));
        std::set<int> positions;
        std::set<int> counts;
        for (const HeartbeatNode& node : fleet.nodes) {
          const auto is_alive = [&](const HostEntry& host) {
            return node.table->IsAlive(host, fleet.now);
          };
          if (CountHigherRanked(*node.table, node.info, is_alive) >=
              WatchersOfDomain(domains)) {
            continue;
          }
          const WatchTurn turn =
              TurnAmongWatchers(*node.table, domains, fleet.now);
          RC_ASSERT(positions.insert(turn.position).second);
          RC_ASSERT(turn.position < turn.count);
          counts.insert(turn.count);
        }
        RC_ASSERT(counts.size() == 1U);
      },
      50));
}

Test(watch_turn, host_that_hears_no_other_is_the_only_one) {
  const HostTable alone(MakeHostInfo(0, 0), kHeartbeatTimeout);
  const WatchTurn turn = TurnAmongWatchers(alone, 6, kStart);
  cr_assert_eq(turn.position, 0);
  cr_assert_eq(turn.count, 1);
}

}  // namespace
}  // namespace pathcleat
