// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <set>
#include <string>

#include "pathcleat/core/time.hpp"
#include "pathcleat/fleet/host_table.hpp"

namespace pathcleat {

/// @brief Criteria, besides the host table, for the choice of the source from
/// which a host gets changes.
/// @ingroup fleet
struct RelayCriteria {
  int domain_count = 1;                 ///< failure domains of the fleet
  bool store_failed = false;            ///< the store did not answer this host
  std::set<std::string> avoided_peers;  ///< addresses of peers that failed
};

/// @brief Criteria, besides the host table, for whether a host reads a whole
/// table from the store.
/// @ingroup fleet
struct StoreReadCriteria {
  int domain_count = 1;  ///< failure domains of the fleet
  Duration waited{0};    ///< how long this host has waited for others
};

/// @brief Whether this host should read a whole table from the store now.
///
/// If hundreds of hosts started at one moment and each read the table, the
/// store would send 3 GB for 986 hosts and 10,002 upstreams. So in each failure
/// domain only the few highest-ranked hosts read the table, ranked among the
/// hosts that are alive or were just listed by store rows. The other hosts of
/// the domain wait and fetch the table from them. If that does not succeed in
/// time, the other hosts read the store too, a few hosts per second.
/// @ingroup fleet
bool ShouldReadStore(const HostTable& hosts,
                     const StoreReadCriteria& criteria,
                     Time now);

/// @brief The source from which a host gets changes of the store's tables.
/// @ingroup fleet
enum class RelayKind {
  kStore,  ///< the store itself
  kPeer,   ///< a host that watches the store
  kNone,   ///< none for now: other hosts of its domain try the store first
};

/// @brief The chosen source; address and name are set for kPeer only.
/// @ingroup fleet
struct RelayChoice {
  RelayKind kind = RelayKind::kStore;
  std::string peer_address;
  std::string peer_name;
};

/// @brief Chooses the source from which this host gets changes.
///
/// In each failure domain the few highest-ranked living hosts watch the store,
/// so that calls to the store grow with the number of domains and not of hosts;
/// the other hosts follow one of them. A host that gets no answer from the
/// store follows any host that does, near hosts first.
/// @ingroup fleet
RelayChoice ChooseRelay(const HostTable& hosts,
                        const RelayCriteria& criteria,
                        Time now);

}  // namespace pathcleat
