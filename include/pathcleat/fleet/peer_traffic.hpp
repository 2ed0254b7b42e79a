// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace pathcleat {

/// @brief Kinds of messages between hosts, for counting.
/// @ingroup fleet
enum class PeerMessageKind : std::uint8_t {
  kHeartbeat,
  kDomainReport,  ///< report on the hosts of a failure domain
  kUsage,         ///< usage of client accounts' limits
  kCrashes,       ///< requests that crash upstreams
  kLimits,        ///< limits and leaving from upstreams' answers
  kOrders,
  kUpstreams,
};

/// @brief All kinds, in the order of their values.
/// @ingroup fleet
constexpr std::array kPeerMessageKinds = {
    PeerMessageKind::kHeartbeat, PeerMessageKind::kDomainReport,
    PeerMessageKind::kUsage,     PeerMessageKind::kCrashes,
    PeerMessageKind::kLimits,    PeerMessageKind::kOrders,
    PeerMessageKind::kUpstreams};

/// @brief A kind's name on the metrics page.
/// @ingroup fleet
const char* ToString(PeerMessageKind kind);

/// @brief Counts the bytes that this host has exchanged with other hosts, by
/// message kind, and the fetches in flight. Headers of HTTP, TCP and IP are not
/// counted. Not thread-safe.
/// @ingroup fleet
class PeerTraffic {
 public:
  void OnSent(PeerMessageKind kind, std::size_t bytes) {
    sent_.at(static_cast<std::size_t>(kind)) += bytes;
  }
  void OnReceived(PeerMessageKind kind, std::size_t bytes) {
    received_.at(static_cast<std::size_t>(kind)) += bytes;
  }

  /// @brief Counts the start of a fetch from another host; OnFetchEnded must
  /// follow.
  void OnFetchStarted() { ++fetches_in_flight_; }
  void OnFetchEnded(bool failed) {
    --fetches_in_flight_;
    failed_fetches_ += failed ? 1 : 0;
  }

  /// @brief Counts a connection to another host that was given up because it
  /// was open but nothing arrived on it.
  void OnSilentConnection() { ++silent_connections_; }
  std::uint64_t silent_connections() const { return silent_connections_; }

  /// @brief Counts an authentic datagram whose format is unknown to this
  /// version.
  void OnUnknownFormat() { ++unknown_formats_; }
  std::uint64_t unknown_formats() const { return unknown_formats_; }

  std::uint64_t bytes_sent(PeerMessageKind kind) const {
    return sent_.at(static_cast<std::size_t>(kind));
  }
  std::uint64_t bytes_received(PeerMessageKind kind) const {
    return received_.at(static_cast<std::size_t>(kind));
  }

  /// @brief Number of fetches that have not ended yet.
  int fetches_in_flight() const { return fetches_in_flight_; }

  /// @brief Number of fetches that ended without a usable answer.
  std::uint64_t failed_fetches() const { return failed_fetches_; }

 private:
  using Counts = std::array<std::uint64_t, kPeerMessageKinds.size()>;

  Counts sent_{};
  Counts received_{};
  int fetches_in_flight_ = 0;
  std::uint64_t failed_fetches_ = 0;
  std::uint64_t silent_connections_ = 0;
  std::uint64_t unknown_formats_ = 0;
};

}  // namespace pathcleat
