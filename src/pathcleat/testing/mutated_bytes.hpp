// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <rapidcheck.h>
#include <cstddef>
#include <string>

namespace pathcleat {

/// @brief Generates a variant of a message, within a property: some bytes are
/// replaced, often by ones that make extreme numbers, or the message is cut
/// off, or bytes are inserted.
inline std::string MutatedBytes(std::string bytes) {
  constexpr int kMaxMutations = 6;
  constexpr std::size_t kMaxRun = 9;  // longer than the largest number
  const int mutations = *rc::gen::inRange(0, kMaxMutations);
  for (int i = 0; i < mutations; ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size() + 1);
    const auto run = *rc::gen::inRange<std::size_t>(1, kMaxRun);
    const char byte = *rc::gen::oneOf(
        rc::gen::element('\0', '\1', '\x7f', '\x80', '\xf0', '\xff'),
        rc::gen::arbitrary<char>());
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        bytes.resize(at);
        break;
      case 1:
        bytes.insert(at, run, byte);
        break;
      default:
        bytes.replace(at, run, std::string(run, byte));
        break;
    }
  }
  return bytes;
}

}  // namespace pathcleat
