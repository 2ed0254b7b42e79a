// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief One start of an upstream, as its list entry tells it.
/// @ingroup routing
struct UpstreamInfo {
  std::string id;  ///< of this start; never used again
  std::string service;
  std::string address;  ///< IP number and port, "10.1.0.35:8144"
  std::string domain;   ///< failure domain
  int slots = 1;
  bool leaving = false;
  Duration cold_for{0};  ///< how much longer it bears little, when it was told

  bool operator==(const UpstreamInfo&) const = default;

  template <class Archive>
  void save(Archive& archive) const {  // NOLINT: named by cereal
    archive(id, service, address, domain, slots, leaving,
            static_cast<std::int64_t>(cold_for.count()));
  }
  template <class Archive>
  void load(Archive& archive) {  // NOLINT: named by cereal
    std::int64_t micros = 0;
    archive(id, service, address, domain, slots, leaving, micros);
    cold_for = Duration(micros);
  }
};

}  // namespace pathcleat
