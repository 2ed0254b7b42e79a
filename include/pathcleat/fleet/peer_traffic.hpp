// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace pathcleat {

/// @brief What hosts send each other.
/// @ingroup fleet
enum class PeerMessageKind : std::uint8_t {
  kHeartbeat,
  kDomainReport,  ///< of a failure domain
  kUsage,         ///< of client accounts' limits
  kCrashes,       ///< of requests that crash upstreams
  kLimits,        ///< that upstreams name in their answers
  kOrders,
  kUpstreams,
};

/// @brief All kinds, in the order of their numbers.
/// @ingroup fleet
constexpr std::array kPeerMessageKinds = {
    PeerMessageKind::kHeartbeat, PeerMessageKind::kDomainReport,
    PeerMessageKind::kUsage,     PeerMessageKind::kCrashes,
    PeerMessageKind::kLimits,    PeerMessageKind::kOrders,
    PeerMessageKind::kUpstreams};

/// @brief A kind's name on the page of figures.
/// @ingroup fleet
const char* ToString(PeerMessageKind kind);

/// @brief Bytes that this host has exchanged with other hosts, by kind, and
/// the transfers under way. Headers of HTTP, TCP and IP are not counted. Not
/// thread-safe.
/// @ingroup fleet
class PeerTraffic {
 public:
  void OnSent(PeerMessageKind kind, std::size_t bytes) {
    sent_.at(static_cast<std::size_t>(kind)) += bytes;
  }
  void OnReceived(PeerMessageKind kind, std::size_t bytes) {
    received_.at(static_cast<std::size_t>(kind)) += bytes;
  }

  /// @brief Another host was asked; OnEnded follows.
  void OnFetchStarted() { ++asked_; }
  void OnFetchEnded(bool failed_fetches) {
    --asked_;
    given_up_ += failed_fetches ? 1 : 0;
  }

  /// @brief A connection to another host was given up: open, but nothing came.
  void OnSilentConnection() { ++silent_; }
  std::uint64_t silent_connections() const { return silent_; }

  /// @brief A host of this fleet sent a datagram of a form not known here.
  void OnUnknownFormat() { ++unknown_forms_; }
  std::uint64_t unknown_formats() const { return unknown_forms_; }

  std::uint64_t bytes_sent(PeerMessageKind kind) const {
    return sent_.at(static_cast<std::size_t>(kind));
  }
  std::uint64_t bytes_received(PeerMessageKind kind) const {
    return received_.at(static_cast<std::size_t>(kind));
  }

  /// @brief Questions to other hosts that are not answered yet.
  int fetches_in_flight() const { return asked_; }

  /// @brief Questions that ended without an answer that could be used.
  std::uint64_t failed_fetches() const { return given_up_; }

 private:
  using Counts = std::array<std::uint64_t, kPeerMessageKinds.size()>;

  Counts sent_{};
  Counts received_{};
  int asked_ = 0;
  std::uint64_t given_up_ = 0;
  std::uint64_t silent_ = 0;
  std::uint64_t unknown_forms_ = 0;
};

}  // namespace pathcleat
