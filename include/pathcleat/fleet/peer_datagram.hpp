// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pathcleat {

/// @brief Message type and format version of a datagram between hosts: a
/// changed format gets a new number. The number is the first byte of the
/// authenticated payload.
/// @ingroup fleet
enum class DatagramKind : std::uint8_t {
  kHeartbeat = 0x31,
  kDomainReport = 0x32,
  kUsage = 0x13,    ///< usage of client accounts' limits
  kCrashes = 0x14,  ///< requests that crash upstreams
  kLimits = 0x25,   ///< limits and leaving from upstreams' answers
};

/// @brief A datagram that carries a valid MAC of this fleet.
/// @ingroup fleet
struct Datagram {
  DatagramKind kind;         ///< may be a kind unknown to this version
  std::string_view message;  ///< view into the bytes given to OpenDatagram
};

/// @brief Encodes a datagram: kind, message and a MAC with the fleet's key.
/// @ingroup fleet
std::string SealDatagram(DatagramKind kind,
                         const std::string& message,
                         const std::string& key);

/// @brief Verifies and decodes a datagram; `std::nullopt` if the MAC is not
/// valid for the key or the payload is empty.
/// @ingroup fleet
std::optional<Datagram> OpenDatagram(std::string_view bytes,
                                     const std::string& key);

}  // namespace pathcleat
