// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace pathcleat {

/// @brief What hosts send each other.
/// @ingroup fleet
enum class PeerMessage : std::uint8_t {
  kHeartbeat,
  kReport,   ///< of a failure domain
  kUsage,    ///< of client accounts' limits
  kCrashes,  ///< of requests that crash upstreams
  kLimits,   ///< that upstreams name in their answers
  kOrders,
  kUpstreams,
};

/// @brief All kinds, in the order of their numbers.
/// @ingroup fleet
constexpr std::array kPeerMessages = {
    PeerMessage::kHeartbeat, PeerMessage::kReport, PeerMessage::kUsage,
    PeerMessage::kCrashes,   PeerMessage::kLimits, PeerMessage::kOrders,
    PeerMessage::kUpstreams};

/// @brief A kind's name on the page of figures.
/// @ingroup fleet
const char* ToString(PeerMessage kind);

/// @brief Bytes that this host has exchanged with other hosts, by kind, and
/// the transfers under way. Headers of HTTP, TCP and IP are not counted. Not
/// thread-safe.
/// @ingroup fleet
class PeerTraffic {
 public:
  void OnSent(PeerMessage kind, std::size_t bytes) {
    sent_.at(static_cast<std::size_t>(kind)) += bytes;
  }
  void OnReceived(PeerMessage kind, std::size_t bytes) {
    received_.at(static_cast<std::size_t>(kind)) += bytes;
  }

  /// @brief Another host was asked; OnEnded follows.
  void OnAsked() { ++asked_; }
  void OnEnded(bool given_up) {
    --asked_;
    given_up_ += given_up ? 1 : 0;
  }

  /// @brief A connection to another host was given up: open, but nothing came.
  void OnSilent() { ++silent_; }
  std::uint64_t silent() const { return silent_; }

  /// @brief A host of this fleet sent a datagram of a form not known here.
  void OnUnknownForm() { ++unknown_forms_; }
  std::uint64_t unknown_forms() const { return unknown_forms_; }

  std::uint64_t sent(PeerMessage kind) const {
    return sent_.at(static_cast<std::size_t>(kind));
  }
  std::uint64_t received(PeerMessage kind) const {
    return received_.at(static_cast<std::size_t>(kind));
  }

  /// @brief Questions to other hosts that are not answered yet.
  int asked() const { return asked_; }

  /// @brief Questions that ended without an answer that could be used.
  std::uint64_t given_up() const { return given_up_; }

 private:
  using Counts = std::array<std::uint64_t, kPeerMessages.size()>;

  Counts sent_{};
  Counts received_{};
  int asked_ = 0;
  std::uint64_t given_up_ = 0;
  std::uint64_t silent_ = 0;
  std::uint64_t unknown_forms_ = 0;
};

}  // namespace pathcleat
