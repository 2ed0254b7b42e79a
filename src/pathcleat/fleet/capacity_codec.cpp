// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/capacity_codec.hpp"

#include <algorithm>
#include <cereal/types/string.hpp>
#include <cmath>
#include <cstdint>
#include <limits>

#include "pathcleat/core/binary_codec.hpp"
#include "pathcleat/core/fixed_number.hpp"
#include "pathcleat/core/outside_bounds.hpp"

namespace pathcleat {
namespace {

constexpr double kCoreUnits = 100;  // per core
constexpr std::size_t kCapacityBytes =
    sizeof(std::uint16_t) + sizeof(std::uint32_t);

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

bool IsInRange(const HostInfo& host) {
  return IsInOutsideRange(host.link_mbps);
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
  if (host && !IsInRange(*host)) {
    return std::nullopt;
  }
  if (host) {
    std::string_view rest = bytes.substr(std::min(used, bytes.size()));
    TakeCapacity(rest, host->capacity);
  }
  return host;
}

}  // namespace pathcleat
