// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pathcleat/core/event_log.hpp"
#include "pathcleat/core/lock_rank.hpp"
#include "pathcleat/settings/host_settings.hpp"
#include "pathcleat/steer/block_table.hpp"
#include "pathcleat/steer/config_log.hpp"
#include "pathcleat/wire/peer_message.hpp"

namespace pathcleat {

/// @brief Where a change of the configuration came from.
/// @ingroup host
enum class ConfigSource {
  kStore,        ///< the table service or the object store
  kOperator,     ///< a command given to this host
  kSibling,      ///< a host of the same failure domain
  kOtherDomain,  ///< a host of another failure domain
};

/// @brief The configuration in force at this host, shared by all threads.
/// Its version only rises. Thread-safe.
/// @ingroup host
class ConfigService {
 public:
  ConfigService(const HostSettings& settings, EventLog& events);

  std::uint64_t version() const;

  /// @brief The state in force, without its client blocks, which can be many
  /// and are asked for by RegionOf; stays valid while it is held.
  std::shared_ptr<const ConfigState> state() const;

  /// @brief The whole state, copied; for snapshots.
  ConfigState WholeState() const;

  /// @brief Client blocks that changes have assigned.
  std::size_t changed_blocks() const;

  /// @brief Applies what follows on; then calls the listeners.
  void Apply(const ConfigUpdate& update, ConfigSource source);

  /// @brief What a peer at this version lacks.
  ConfigUpdate UpdateAfter(std::uint64_t version) const;

  /// @brief Called after each rise, in the thread that brought it.
  void OnChanged(std::function<void(ConfigSource)> listener);

  /// @brief Region nearest to a caller's IPv4 address, if it is known.
  std::optional<RegionIndex> RegionOf(std::uint32_t address) const;

 private:
  void RebuildBlocks();

  const HostSettings& settings_;
  EventLog& events_;
  mutable RankedMutex mutex_{LockRank::kConfig};
  ConfigLog log_;
  std::shared_ptr<const ConfigState> state_;
  BlockTable blocks_;
  std::vector<std::function<void(ConfigSource)>> listeners_;
};

}  // namespace pathcleat
