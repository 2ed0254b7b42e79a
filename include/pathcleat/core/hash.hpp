// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string_view>

namespace pathcleat {

/// @brief 64-bit hash that is the same on every host and in every version
/// (XXH3, seeded).
/// @ingroup core
std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed = 0);

/// @brief StableHash mapped to [0, 1).
/// @ingroup core
double UnitIntervalHash(std::string_view bytes, std::uint64_t seed = 0);

/// @brief A hash mapped to [0, 1).
/// @ingroup core
double ToUnitInterval(std::uint64_t hash);

/// @brief One hash of two: the rank of a pair in rendezvous hashing.
/// @ingroup core
std::uint64_t MixHashes(std::uint64_t a, std::uint64_t b);

}  // namespace pathcleat
