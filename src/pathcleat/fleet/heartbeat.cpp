// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/heartbeat.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <sstream>

namespace pathcleat {

std::string EncodeHeartbeat(const Heartbeat& heartbeat) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(heartbeat);
  }
  return stream.str();
}

std::optional<Heartbeat> DecodeHeartbeat(std::string_view bytes) {
  std::istringstream stream{std::string(bytes)};
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    Heartbeat heartbeat;
    archive(heartbeat);
    return heartbeat;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace pathcleat
