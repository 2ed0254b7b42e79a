// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pathcleat {

/// @brief What a datagram between hosts holds, and in which form: a changed
/// form gets a new number. The first byte under the seal.
/// @ingroup fleet
enum class DatagramKind : std::uint8_t {
  kHeartbeat = 0x21,
  kDomainReport = 0x22,
  kUsage = 0x13,    ///< of client accounts' limits
  kCrashes = 0x14,  ///< of requests that crash upstreams
  kLimits = 0x15,   ///< that upstreams name in their answers
};

/// @brief A datagram whose seal is this fleet's.
/// @ingroup fleet
struct Datagram {
  DatagramKind kind;         ///< may be one that this version does not know
  std::string_view message;  ///< part of the bytes that were opened
};

/// @brief The bytes to send.
/// @ingroup fleet
std::string SealDatagram(DatagramKind kind,
                         const std::string& message,
                         const std::string& key);

/// @brief Reads a datagram; nothing if it is not of this fleet.
/// @ingroup fleet
std::optional<Datagram> OpenDatagram(std::string_view bytes,
                                     const std::string& key);

}  // namespace pathcleat
