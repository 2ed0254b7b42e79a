// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <compare>
#include <cstdint>

namespace pathcleat {

/// @brief Position of an item in the deployment's list of its sort. Each sort
/// has its own type, so that they cannot be mixed up.
/// @ingroup core
template <class Tag>
struct Index {
  std::uint16_t value = 0;

  auto operator<=>(const Index&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(value);
  }
};

using RegionIndex = Index<struct RegionTag>;
using DomainIndex = Index<struct DomainTag>;
using SeatIndex = Index<struct SeatTag>;
using ServiceIndex = Index<struct ServiceTag>;
using UpstreamIndex = Index<struct UpstreamTag>;

}  // namespace pathcleat
