// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/peer_datagram.hpp"

#include "pathcleat/core/mac.hpp"

namespace pathcleat {

std::string SealDatagram(DatagramKind kind,
                         const std::string& message,
                         const std::string& key) {
  return AppendMac(static_cast<char>(kind) + message, key);
}

std::optional<Datagram> OpenDatagram(std::string_view bytes,
                                     const std::string& key) {
  const auto opened = VerifyMac(bytes, key);
  if (!opened || opened->empty()) {
    return std::nullopt;
  }
  return Datagram{static_cast<DatagramKind>(opened->front()),
                  opened->substr(1)};
}

}  // namespace pathcleat
