// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/heartbeat.hpp"

#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>

#include "pathcleat/core/binary_codec.hpp"

namespace pathcleat {

namespace {

// Follows the heartbeat of an isolated host. Hosts of an older version ignore
// bytes after a heartbeat.
constexpr char kIsolatedMark = 'I';

}  // namespace

std::string EncodeHeartbeat(const Heartbeat& heartbeat) {
  std::string bytes = EncodeBinary(heartbeat);
  if (heartbeat.host.isolated) {
    bytes += kIsolatedMark;
  }
  return bytes;
}

std::optional<Heartbeat> DecodeHeartbeat(std::string_view bytes) {
  std::size_t used = 0;
  auto heartbeat = DecodeBinary<Heartbeat>(bytes, &used);
  if (heartbeat && used < bytes.size()) {
    heartbeat->host.isolated = bytes[used] == kIsolatedMark;
  }
  return heartbeat;
}

}  // namespace pathcleat
