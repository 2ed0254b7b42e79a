// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/feeds/config_update.hpp"

#include <limits>

#include "mutated_bytes.hpp"
#include "pathcleat/core/outside_bounds.hpp"
#include "pathcleat/feeds/fleet_snapshot.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

ConfigUpdate TestUpdate() {
  ConfigUpdate update;
  update.config.version = 7;
  Route route;
  route.name = "r";
  route.splits = {{"s", 1}, {"t", 2}};
  route.allowed_regions = {"north"};
  update.config.routes = {route};
  update.config.services = {{"s", "/health", 10, 0.5}};
  Account account;
  account.name = "a";
  account.priority = 1;
  account.limit = {10, 20};
  update.config.accounts = {account};
  update.base_version = 6;
  update.routes.steps = {{0, 1, {route}}};
  update.accounts.steps = {{0, 1, {account}}};
  return update;
}

bool IsInRange(const RoutingConfig& config) {
  bool in_range = true;
  for (const Route& route : config.routes) {
    in_range = in_range && IsInOutsideRange(route.timeout) &&
               IsInOutsideRange(route.target_latency) &&
               route.max_attempts >= 0;
    for (const RouteSplit& split : route.splits) {
      in_range = in_range && IsInOutsideRange(split.weight);
    }
  }
  for (const ServiceInfo& service : config.services) {
    in_range = in_range && IsInOutsideRange(service.cold_per_second) &&
               service.max_connections >= 0;
  }
  for (const Account& account : config.accounts) {
    in_range = in_range && IsInOutsideRange(account.limit.per_second) &&
               IsInOutsideRange(account.limit.burst);
  }
  return in_range && IsInOutsideRange(config.caller_limits.idle_timeout) &&
         IsInOutsideRange(config.caller_limits.read_timeout);
}

// Guards against bytes of another host that end this one, or that bring values
// into its routes with which later arithmetic overflows.
Test(config_update, mutated_bytes_give_values_in_range_or_are_rejected) {
  cr_assert(Holds(
      "a decoded update is in range",
      [] {
        const std::string bytes =
            MutatedBytes(EncodeConfigUpdate(TestUpdate()));
        const auto update = DecodeConfigUpdate(bytes);
        if (update) {
          RC_ASSERT(IsInRange(update->config));
        }
      },
      2'000));
}

// Guards against a time limit that overflows in the sum with the time of a
// request, and against one odd route that keeps the configuration from a host.
Test(config_update, numbers_too_large_are_clamped) {
  ConfigUpdate sent = TestUpdate();
  Route& route = sent.config.routes.front();
  route.timeout = Duration::max();
  route.target_latency = Duration(-1);
  route.max_attempts = std::numeric_limits<int>::min();
  route.splits.front().weight = std::numeric_limits<double>::max();
  sent.config.caller_limits.idle_timeout = std::chrono::milliseconds::max();
  const auto update = DecodeConfigUpdate(EncodeConfigUpdate(sent));
  cr_assert(update.has_value());
  cr_assert(IsInRange(update->config));
  cr_assert(update->config.routes.front().timeout == kMaxOutsideDuration);
  cr_assert_eq(update->config.routes.front().splits.back().weight, 2);
}

// Guards against bytes of another host that end this one.
Test(fleet_snapshot, mutated_bytes_are_decoded_or_rejected) {
  FleetSnapshot snapshot;
  snapshot.config_update = EncodeConfigUpdate(TestUpdate());
  snapshot.drained_domains = {"d"};
  snapshot.rollout_orders.resize(1);
  snapshot.upstreams.resize(2);
  snapshot.removed_upstreams = {"u"};
  const std::string encoded = EncodeSnapshot(snapshot);
  cr_assert(DecodeSnapshot(encoded).has_value());
  cr_assert(Holds(
      "a decoded snapshot has orders in range",
      [&encoded] {
        const auto decoded = DecodeSnapshot(MutatedBytes(encoded));
        for (const RolloutOrder& order :
             decoded.value_or(FleetSnapshot()).rollout_orders) {
          RC_ASSERT(order.timeout >= Duration::zero());
          RC_ASSERT(order.timeout <= kMaxRolloutTimeout);
        }
      },
      2'000));
}

}  // namespace
}  // namespace pathcleat
