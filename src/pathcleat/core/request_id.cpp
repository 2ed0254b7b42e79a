// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/request_id.hpp"

#include <charconv>

#include "pathcleat/core/hash.hpp"

namespace pathcleat {
namespace {

constexpr int kHexadecimal = 16;

std::string Hex(std::uint64_t value) {
  char text[kHexadecimal];
  const auto end = std::to_chars(text, text + sizeof text, value, kHexadecimal);
  return {text, end.ptr};
}

std::optional<std::uint64_t> FromHex(std::string_view text) {
  std::uint64_t value = 0;
  const auto end = std::from_chars(text.data(), text.data() + text.size(),
                                   value, kHexadecimal);
  if (end.ec != std::errc() || end.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::string ToString(const RequestId& id) {
  return Hex(id.incarnation) + "-" + Hex(id.sequence);
}

std::optional<RequestId> ParseRequestId(std::string_view text) {
  const auto dash = text.find('-');
  if (dash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto incarnation = FromHex(text.substr(0, dash));
  const auto sequence = FromHex(text.substr(dash + 1));
  if (!incarnation || !sequence) {
    return std::nullopt;
  }
  return RequestId{*incarnation, *sequence, 0};
}

std::size_t RequestIdHash::operator()(const RequestId& id) const {
  const std::uint64_t words[] = {id.incarnation, id.sequence, id.attempt};
  return StableHash({reinterpret_cast<const char*>(words), sizeof words});
}

}  // namespace pathcleat
