// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cstddef>
#include <exception>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

#include "pathcleat/core/bounded_binary_archive.hpp"

namespace pathcleat {

/// @brief Serializes a value (cereal, portable binary).
/// @ingroup core
template <class Value>
std::string EncodeBinary(const Value& value) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(value);
  }
  return stream.str();
}

/// @brief Deserializes a value; std::nullopt if the bytes do not encode a
/// Value, among them any that BoundedBinaryInputArchive rejects. Bytes after
/// the value are ignored.
/// @param used if not null, receives the number of bytes that encode the value.
/// @ingroup core
template <class Value>
std::optional<Value> DecodeBinary(std::string_view bytes,
                                  std::size_t* used = nullptr) {
  try {
    BoundedBinaryInputArchive archive(bytes);
    Value value;
    archive(value);
    if (used != nullptr) {
      *used = archive.bytes_read();
    }
    return value;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace pathcleat
