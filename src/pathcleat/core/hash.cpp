// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/hash.hpp"

#include <xxhash.h>

namespace pathcleat {

std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

double ToUnitInterval(std::uint64_t hash) {
  constexpr int kMantissaBits = 53;
  constexpr double kScale = 1.0 / (1ULL << kMantissaBits);
  return static_cast<double>(hash >> (64 - kMantissaBits)) * kScale;
}

double UnitIntervalHash(std::string_view bytes, std::uint64_t seed) {
  return ToUnitInterval(StableHash(bytes, seed));
}

std::uint64_t MixHashes(std::uint64_t a, std::uint64_t b) {
  return StableHash({reinterpret_cast<const char*>(&a), sizeof a}, b);
}

}  // namespace pathcleat
