// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/capacity_codec.hpp"

#include <algorithm>
#include <cereal/types/string.hpp>
#include <cmath>
#include <cstdint>
#include <limits>

#include "pathcleat/core/binary_codec.hpp"

namespace pathcleat {
namespace {

constexpr double kCoreUnits = 100;  // per core
constexpr std::size_t kCapacityBytes =
    sizeof(std::uint16_t) + sizeof(std::uint32_t);
constexpr unsigned kByteBits = 8;

template <class Number>
void AppendNumber(Number number, std::string& bytes) {
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    bytes += static_cast<char>((number >> (i * kByteBits)) & 0xffU);
  }
}

template <class Number>
Number TakeNumber(std::string_view& bytes) {
  Number number = 0;
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    const auto byte = static_cast<unsigned char>(bytes[i]);
    number = static_cast<Number>(number | Number{byte} << (i * kByteBits));
  }
  bytes.remove_prefix(sizeof(Number));
  return number;
}

}  // namespace

void AppendCapacity(const HostCapacity& capacity, std::string& bytes) {
  constexpr double kMax = std::numeric_limits<std::uint16_t>::max();
  const double cores = std::clamp(capacity.cpu_cores * kCoreUnits, 0.0, kMax);
  AppendNumber(static_cast<std::uint16_t>(std::lround(cores)), bytes);
  AppendNumber(capacity.max_descriptors, bytes);
}

bool TakeCapacity(std::string_view& bytes, HostCapacity& capacity) {
  if (bytes.size() < kCapacityBytes) {
    return false;
  }
  capacity.cpu_cores = TakeNumber<std::uint16_t>(bytes) / kCoreUnits;
  capacity.max_descriptors = TakeNumber<std::uint32_t>(bytes);
  return true;
}

std::string EncodeHostRow(const HostInfo& host) {
  std::string bytes = EncodeBinary(host);
  if (host.capacity.IsStated()) {
    AppendCapacity(host.capacity, bytes);
  }
  return bytes;
}

std::optional<HostInfo> DecodeHostRow(std::string_view bytes) {
  std::size_t used = 0;
  auto host = DecodeBinary<HostInfo>(bytes, &used);
  if (host) {
    std::string_view rest = bytes.substr(std::min(used, bytes.size()));
    TakeCapacity(rest, host->capacity);
  }
  return host;
}

}  // namespace pathcleat
