// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string_view>

namespace pathcleat {

/// @brief Computes a 64-bit hash that is the same on every host and in every
/// version (XXH3, seeded).
/// @ingroup core
std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed = 0);

/// @brief Computes StableHash and maps the hash to [0, 1).
/// @ingroup core
double UnitIntervalHash(std::string_view bytes, std::uint64_t seed = 0);

/// @brief Maps a hash to [0, 1).
/// @ingroup core
double ToUnitInterval(std::uint64_t hash);

/// @brief Combines two hashes into one. In rendezvous hashing, the result for
/// the hashes of an upstream and a host is the rank of that host.
/// @ingroup core
std::uint64_t MixHashes(std::uint64_t a, std::uint64_t b);

}  // namespace pathcleat
