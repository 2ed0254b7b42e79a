// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/feeds/fleet_snapshot.hpp"

#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <chrono>
#include <utility>

#include "pathcleat/core/binary_codec.hpp"
#include "pathcleat/feeds/upstream_codec.hpp"

namespace pathcleat {

// cereal finds the functions below by argument-dependent lookup.
// NOLINTBEGIN(readability-identifier-naming)
template <class Archive>
void save(Archive& archive, const FleetSnapshot& snapshot) {
  archive(snapshot.topic, snapshot.version, snapshot.newest_change_version,
          snapshot.is_full, snapshot.removals_uncertain, snapshot.config_update,
          snapshot.drained_domains, snapshot.rollout_orders,
          snapshot.removed_upstreams, EncodeUpstreams(snapshot.upstreams));
}

template <class Archive>
void load(Archive& archive, FleetSnapshot& snapshot) {
  std::string encoded_upstreams;
  archive(snapshot.topic, snapshot.version, snapshot.newest_change_version,
          snapshot.is_full, snapshot.removals_uncertain, snapshot.config_update,
          snapshot.drained_domains, snapshot.rollout_orders,
          snapshot.removed_upstreams, encoded_upstreams);
  auto upstreams = DecodeUpstreams(encoded_upstreams);
  if (!upstreams) {
    throw cereal::Exception("malformed list of upstreams");
  }
  snapshot.upstreams = std::move(*upstreams);
}
// NOLINTEND(readability-identifier-naming)

SourceAnswer ToSourceAnswer(const FleetSnapshot& snapshot,
                            const Transfer& transfer) {
  SourceAnswer answer;
  answer.outcome = StoreOutcome::kDone;
  answer.version = snapshot.version;
  answer.newest_change_version = snapshot.newest_change_version;
  answer.relayed = true;
  answer.transfer = transfer;
  answer.removals_uncertain = snapshot.removals_uncertain;
  if (snapshot.topic == SourceTopic::kOrders) {
    // A snapshot of orders always lists all drains. If it has no configuration,
    // the configuration is unchanged.
    answer.is_full = true;
    if (snapshot.config.version > 0) {
      answer.changes.emplace_back(snapshot.config);
    }
    for (const std::string& domain : snapshot.drained_domains) {
      answer.changes.emplace_back(DomainDrain{domain, true});
    }
    for (const RolloutOrder& order : snapshot.rollout_orders) {
      answer.changes.emplace_back(order);
    }
    return answer;
  }
  answer.is_full = snapshot.is_full;
  for (const UpstreamInfo& upstream : snapshot.upstreams) {
    answer.changes.emplace_back(upstream);
  }
  for (const std::string& id : snapshot.removed_upstreams) {
    answer.changes.emplace_back(UpstreamRemoval{id});
  }
  return answer;
}

std::string EncodeSnapshot(const FleetSnapshot& snapshot) {
  return EncodeBinary(snapshot);
}

std::optional<FleetSnapshot> DecodeSnapshot(std::string_view bytes) {
  return DecodeBinary<FleetSnapshot>(bytes);
}

}  // namespace pathcleat
