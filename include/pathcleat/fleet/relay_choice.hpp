// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <set>
#include <string>

#include "pathcleat/core/time.hpp"
#include "pathcleat/fleet/host_table.hpp"

namespace pathcleat {

/// @brief What decides whom a host asks for changes, beside the other hosts.
/// @ingroup fleet
struct RelayCriteria {
  int domain_count = 1;       ///< failure domains of the fleet
  bool store_failed = false;  ///< the store has not answered this host
  std::set<std::string> avoided_peers;  ///< peer addresses that have failed it
};

/// @brief What decides whether a host reads a table of the store whole.
/// @ingroup fleet
struct StoreReadCriteria {
  int domain_count = 1;  ///< failure domains of the fleet
  Duration waited{0};    ///< for another host of its domain to have read it
};

/// @brief Whether a host should read a table whole from the store now. Where
/// hundreds of hosts start at one moment, all of them would: at 986 hosts and
/// 10,002 upstreams that is 3 GB. So in each failure domain the few that rank
/// first do, by the hosts that are alive or that rows have just named; the
/// others take what these know, and if that does not come, go to the store by
/// turns.
/// @ingroup fleet
bool ShouldReadStore(const HostTable& hosts,
                     const StoreReadCriteria& need,
                     Time now);

/// @brief Whom a host asks for changes of the store's tables.
/// @ingroup fleet
enum class RelayKind {
  kStore,  ///< the store itself
  kPeer,   ///< a host that watches the store
  kNone,   ///< nobody for a while: others of its domain try the store first
};

/// @brief The choice; address and name are given for kPeer.
/// @ingroup fleet
struct RelayChoice {
  RelayKind kind = RelayKind::kStore;
  std::string peer_address;
  std::string peer_name;
};

/// @brief Chooses whom to ask. In each failure domain the few living hosts
/// that rank first watch the store, so that its calls grow with the domains
/// and not with the hosts; the others follow one of them. A host that the
/// store does not answer follows any host that it does answer, near ones
/// first.
/// @ingroup fleet
RelayChoice ChooseRelay(const HostTable& hosts,
                        const RelayCriteria& need,
                        Time now);

}  // namespace pathcleat
