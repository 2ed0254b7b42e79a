// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>

#include "pathcleat/fleet/host_capacity.hpp"

namespace pathcleat {

/// @brief A host's description of itself, sent to other hosts and stored in
/// the host's row.
/// @ingroup fleet
struct HostInfo {
  std::string name;
  std::uint64_t incarnation = 0;  ///< larger after each restart
  std::string domain;
  std::string region;
  std::string caller_address;  ///< IP number and port
  std::string peer_address;    ///< IP number and port, UDP
  bool leaving = false;
  double link_mbps = 0;  ///< capacity of the host's link, Mbit/s
  /// Whether the host reaches no upstream. Heartbeats and reports tell it; the
  /// host's row in the store does not.
  bool isolated = false;
  /// Encoded after the record (capacity_codec.hpp), as hosts of an older
  /// version read the fields of `serialize` and ignore the bytes after them.
  HostCapacity capacity;
  double utilization = 0;      ///< share of the capacity in use; 0: unknown
  std::uint8_t load_step = 0;  ///< see LoadStepControl

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, incarnation, domain, region, caller_address, peer_address,
            leaving, link_mbps);
  }
};

}  // namespace pathcleat
