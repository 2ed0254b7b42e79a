// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <bit>
#include <concepts>
#include <cstdint>
#include <string_view>

#include "pathcleat/core/hash.hpp"

namespace pathcleat {

/// @brief Combines the fields of a value into one hash that is the same on
/// every host. Each text is hashed separately, so that lists of texts with the
/// same concatenation ("ab", "c" and "a", "bc") have different hashes.
/// @ingroup core
class FieldHash {
 public:
  void Add(std::string_view text) { AddHash(StableHash(text)); }
  void Add(double number) { AddHash(std::bit_cast<std::uint64_t>(number)); }

  template <std::integral Number>
  void Add(Number number) {
    AddHash(static_cast<std::uint64_t>(number));
  }

  std::uint64_t hash() const { return hash_; }

 private:
  void AddHash(std::uint64_t hash) { hash_ = MixHashes(hash_, hash); }

  std::uint64_t hash_ = 0;
};

}  // namespace pathcleat
