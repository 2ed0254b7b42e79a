// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/base64.hpp"

#include <sodium/utils.h>

namespace pathcleat {

std::string ToBase64(std::string_view bytes) {
  std::string text(
      sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL),
      '\0');
  sodium_bin2base64(text.data(), text.size(),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  text.pop_back();  // the terminating null byte
  return text;
}

std::optional<std::string> FromBase64(const std::string& text) {
  std::string bytes(text.size(), '\0');
  std::size_t size = 0;
  const int failed = sodium_base642bin(
      reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(),
      text.size(), nullptr, &size, nullptr, sodium_base64_VARIANT_ORIGINAL);
  if (failed != 0) {
    return std::nullopt;
  }
  bytes.resize(size);
  return bytes;
}

}  // namespace pathcleat
