// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/heartbeat.hpp"

#include <algorithm>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cmath>

#include "pathcleat/core/binary_codec.hpp"
#include "pathcleat/core/fixed_number.hpp"
#include "pathcleat/fleet/capacity_codec.hpp"
#include "pathcleat/fleet/load_step_control.hpp"

namespace pathcleat {

namespace {

// Follows the heartbeat of an isolated host. Hosts of an older version ignore
// bytes after a heartbeat, or all but this mark directly after it.
constexpr char kIsolatedMark = 'I';
// Precedes the capacity, the utilization and the load step, one byte each for
// the last two. Absent if the host states no capacity.
constexpr char kCapacityMark = 'C';
constexpr double kUtilizationUnits = 255;
// Precedes the ages of the store's answers. Absent if they are unknown.
constexpr char kAnswerAgesMark = 'A';

void TakeLoad(std::string_view& bytes, HostInfo& host) {
  constexpr std::size_t kLoadBytes = 2;
  HostCapacity capacity;
  if (!TakeCapacity(bytes, capacity) || bytes.size() < kLoadBytes) {
    return;
  }
  host.capacity = capacity;
  host.utilization = static_cast<unsigned char>(bytes[0]) / kUtilizationUnits;
  host.load_step = std::min<std::uint8_t>(static_cast<unsigned char>(bytes[1]),
                                          kMaxLoadStep);
  bytes.remove_prefix(kLoadBytes);
}

}  // namespace

std::string EncodeHeartbeat(const Heartbeat& heartbeat) {
  const HostInfo& host = heartbeat.host;
  std::string bytes = EncodeBinary(heartbeat);
  if (host.isolated) {
    bytes += kIsolatedMark;
  }
  if (host.capacity.IsStated()) {
    bytes += kCapacityMark;
    AppendCapacity(host.capacity, bytes);
    const double used = std::clamp(host.utilization, 0.0, 1.0);
    bytes += static_cast<char>(std::lround(used * kUtilizationUnits));
    bytes += static_cast<char>(host.load_step);
  }
  const StoreAnswerAges& ages = heartbeat.versions.store_answer_ages;
  if (ages.IsAnyKnown()) {
    bytes += kAnswerAgesMark;
    ages.AppendTo(bytes);
  }
  return bytes;
}

std::optional<Heartbeat> DecodeHeartbeat(std::string_view bytes) {
  std::size_t used = 0;
  auto heartbeat = DecodeBinary<Heartbeat>(bytes, &used);
  if (heartbeat && !IsInRange(heartbeat->host)) {
    return std::nullopt;
  }
  if (heartbeat) {
    std::string_view rest = bytes.substr(std::min(used, bytes.size()));
    heartbeat->host.isolated = TakeMark(kIsolatedMark, rest);
    if (TakeMark(kCapacityMark, rest)) {
      TakeLoad(rest, heartbeat->host);
    }
    if (TakeMark(kAnswerAgesMark, rest)) {
      heartbeat->versions.store_answer_ages.TakeFrom(rest);
    }
  }
  return heartbeat;
}

}  // namespace pathcleat
