// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Applies the operators' orders: the configuration, drains and rollouts.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "pathcleat/gateway/fleet_sync.hpp"

namespace pathcleat {

void FleetSync::ApplyConfig(const RoutingConfig& config,
                            const Transfer& transfer) {
  const std::uint64_t replaces = state_.routes.version();
  if (state_.routes.ReplaceIfNewer(config)) {
    unreadable_rows_.ForgetAll(SourceTopic::kOrders);
    config_history_.Append(state_.routes.config());
    state_.accounts.SetAccounts(state_.routes.accounts());
    state_.quotas.control().SetAccounts(state_.accounts.All());
    config_lag_.OnApplied(config.version);
    on_config_(config);
    state_.routes_applied_at = BootClock::now();
    state_.events.Record(
        EventCode::kConfigApplied, "routes", "",
        {IntegerField(field::kConfigVersion, config.version),
         IntegerField(field::kReplaces, replaces),
         {field::kFrom, transfer.from},
         IntegerField(field::kBytes, transfer.bytes),
         MillisecondsField(field::kTransferMs, transfer.transfer_time),
         MillisecondsField(field::kDecodeMs, transfer.decode_time)});
  }
}

void FleetSync::OnOrders(const SourceUpdate& update) {
  const LoopTurnTimer turn(state_.loop_turns, LoopTask::kConfig,
                           update.transfer.decode_time);
  for (const FleetChange& change : update.changes) {
    if (const auto* config = std::get_if<RoutingConfig>(&change)) {
      ApplyConfig(*config, update.transfer);
    } else if (const auto* bad = std::get_if<UnreadableRow>(&change)) {
      RecordUnreadable(SourceTopic::kOrders, *bad);
    }
  }
  OnDrains(update);
  OnRollouts(update);
  peer_feed_.Publish(SourceTopic::kOrders);
}

void FleetSync::OnDrains(const SourceUpdate& update) {
  std::set<std::string> drained = update.is_full
                                      ? std::set<std::string>()
                                      : state_.upstreams.drained_domains();
  for (const FleetChange& change : update.changes) {
    if (const auto* drain = std::get_if<DomainDrain>(&change)) {
      if (drain->drained) {
        drained.insert(drain->domain);
      } else {
        drained.erase(drain->domain);
      }
    }
  }
  for (const auto& [domain, region] : state_.settings.region_of_domain) {
    const bool now = drained.contains(domain);
    if (now == state_.upstreams.drained_domains().contains(domain)) {
      continue;
    }
    state_.upstreams.SetDomainDrained(domain, now);
    state_.events.Record(
        EventCode::kDomainDrained, domain,
        now ? "drained; no new requests are sent there" : "drain lifted");
  }
}

void FleetSync::OnRollouts(const SourceUpdate& update) {
  std::map<std::string, RolloutOrder> orders;
  if (!update.is_full) {
    for (const RolloutOrder& order : state_.rollouts.orders()) {
      orders[order.service] = order;
    }
  }
  for (const FleetChange& change : update.changes) {
    if (const auto* order = std::get_if<RolloutOrder>(&change)) {
      orders[order->service] = *order;
    } else if (const auto* gone = std::get_if<RolloutWithdrawn>(&change)) {
      orders.erase(gone->service);
    }
  }
  std::vector<RolloutOrder> active_orders;
  active_orders.reserve(orders.size());
  for (const auto& [service, order] : orders) {
    active_orders.push_back(order);
  }
  state_.rollouts.SetOrders(active_orders);
  state_.RefreshRollouts();
}

}  // namespace pathcleat
