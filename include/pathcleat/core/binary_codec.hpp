// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <exception>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

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
/// Value.
/// @ingroup core
template <class Value>
std::optional<Value> DecodeBinary(std::string_view bytes) {
  std::istringstream stream{std::string(bytes)};
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    Value value;
    archive(value);
    return value;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace pathcleat
