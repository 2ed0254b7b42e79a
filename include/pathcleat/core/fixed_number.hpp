// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace pathcleat {

/// @brief Appends an unsigned number with a fixed number of bytes, the lowest
/// byte first.
/// @ingroup core
template <class Number>
void AppendNumber(Number number, std::string& bytes) {
  constexpr unsigned kByteBits = 8;
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    bytes += static_cast<char>((number >> (i * kByteBits)) & 0xffU);
  }
}

/// @brief Reads a number written by AppendNumber and removes it from the front
/// of `bytes`, which must hold at least `sizeof(Number)` bytes.
/// @ingroup core
template <class Number>
Number TakeNumber(std::string_view& bytes) {
  constexpr unsigned kByteBits = 8;
  Number number = 0;
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    const auto byte = static_cast<unsigned char>(bytes[i]);
    number = static_cast<Number>(number | Number{byte} << (i * kByteBits));
  }
  bytes.remove_prefix(sizeof(Number));
  return number;
}

/// @brief Removes a mark from the front of `bytes` if it is there.
/// @return whether it was there.
/// @ingroup core
inline bool TakeMark(char mark, std::string_view& bytes) {
  const bool found = !bytes.empty() && bytes.front() == mark;
  bytes.remove_prefix(found ? 1 : 0);
  return found;
}

}  // namespace pathcleat
