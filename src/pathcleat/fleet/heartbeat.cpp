// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/heartbeat.hpp"

#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>

#include "pathcleat/core/binary_codec.hpp"

namespace pathcleat {

std::string EncodeHeartbeat(const Heartbeat& heartbeat) {
  return EncodeBinary(heartbeat);
}

std::optional<Heartbeat> DecodeHeartbeat(std::string_view bytes) {
  return DecodeBinary<Heartbeat>(bytes);
}

}  // namespace pathcleat
