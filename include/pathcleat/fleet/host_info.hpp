// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>

namespace pathcleat {

/// @brief What a host tells of itself.
/// @ingroup fleet
struct HostInfo {
  std::string name;
  std::uint64_t incarnation = 0;  ///< larger after each restart
  std::string domain;
  std::string region;
  std::string caller_address;  ///< IP number and port
  std::string peer_address;    ///< IP number and port, UDP
  bool leaving = false;
  double link_mbps = 0;  ///< what its link carries, Mbit/s

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, incarnation, domain, region, caller_address, peer_address,
            leaving, link_mbps);
  }
};

}  // namespace pathcleat
