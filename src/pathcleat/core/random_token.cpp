// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/random_token.hpp"

#include <sodium/randombytes.h>
#include <sodium/utils.h>

#include <array>

namespace pathcleat {

std::string RandomToken() {
  constexpr std::size_t kBytes = 16;
  std::array<unsigned char, kBytes> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  std::array<char, kBytes * 2 + 1> text{};
  sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
  return text.data();
}

}  // namespace pathcleat
