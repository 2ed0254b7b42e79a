// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Requests with an idempotency key at hosts that get the fleet's state from
// other hosts and have not watched the store themselves.

#include "test_cluster.hpp"

namespace pathcleat {
namespace {

// Guards against hosts that refuse all requests with a key for up to 20 s after
// their start: they took the store for unreachable until it answered their
// first watch, which it does only at the next change.
Test(follower_key, hosts_that_started_by_their_peers_data_claim_keys) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {2, 2, 1, 1};
  TestCluster cluster(plan);
  cluster.StartAll();
  for (std::size_t host = 0; host < 6; ++host) {
    const std::string id = "r" + std::to_string(host);
    const CallResult result = cluster.Post(host, id, "key-" + id);
    cr_assert_eq(result.response.status, http_status::kOk, "host %zu: %s", host,
                 result.response.body.str().c_str());
  }
}

}  // namespace
}  // namespace pathcleat
