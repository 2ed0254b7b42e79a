// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>

#include "pathcleat/core/index.hpp"
#include "pathcleat/steer/owner_table.hpp"

namespace pathcleat {

/// @brief Load of one service at a host or in a failure domain, as sent.
/// @ingroup wire
struct ServiceLoad {
  ServiceIndex service;
  std::uint16_t slots = 0;
  std::uint16_t free = 0;
  std::uint16_t waiting = 0;
  std::uint32_t latency_us = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, slots, free, waiting, latency_us);
  }
};

/// @brief Conversions; counts above 65,535 are cut.
/// @ingroup wire
ServiceLoad ToServiceLoad(ServiceIndex service, const PoolLoad& load);
PoolLoad ToPoolLoad(const ServiceLoad& load);

}  // namespace pathcleat
