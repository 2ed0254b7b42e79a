// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/wire/service_load.hpp"

#include <algorithm>
#include <limits>

namespace pathcleat {
namespace {

std::uint16_t Cut(int value) {
  constexpr int kMost = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(std::clamp(value, 0, kMost));
}

}  // namespace

ServiceLoad ToServiceLoad(ServiceIndex service, const PoolLoad& load) {
  return {service, Cut(load.slots), Cut(load.free), Cut(load.waiting),
          static_cast<std::uint32_t>(load.latency.count())};
}

PoolLoad ToPoolLoad(const ServiceLoad& load) {
  return {load.slots, load.free, load.waiting, Duration(load.latency_us)};
}

}  // namespace pathcleat
