// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <variant>
#include <vector>

#include "pathcleat/core/hybrid_clock.hpp"
#include "pathcleat/core/index.hpp"
#include "pathcleat/wire/service_load.hpp"

namespace pathcleat {

/// @brief Sent by each host to each other host of its failure domain, every
/// heartbeat period.
/// @ingroup wire
struct Heartbeat {
  std::uint64_t echoed = 0;  ///< newest sequence heard of the receiver
  std::uint64_t config_version = 0;
  bool leaving = false;
  std::vector<SeatIndex> claims;  ///< seats that it holds or may hold
  std::vector<ServiceLoad> loads;
  /// Upstreams that the platform's host list says leave; from the one host of
  /// the failure domain that reads it.
  bool has_host_list = false;
  std::vector<UpstreamIndex> listed_leaving;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(echoed, config_version, leaving, claims, loads, has_host_list,
            listed_leaving);
  }
};

/// @brief State of one failure domain, made by one of its hosts.
/// @ingroup wire
struct DomainSummary {
  DomainIndex domain;
  HybridTime computed;
  std::uint32_t age_ms = 0;  ///< grows with each hand-over
  std::uint64_t lowest_config_version = 0;
  std::uint16_t hosts_heard = 0;
  std::vector<SeatIndex> contacts;  ///< living hosts to relay to; bounded
  std::vector<SeatIndex> silent;    ///< hosts not heard; bounded
  std::vector<ServiceLoad> loads;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(domain, computed, age_ms, lowest_config_version, hosts_heard,
            contacts, silent, loads);
  }
};

/// @brief Sent to a few hosts of other failure domains every heartbeat
/// period: as many summaries as fit one datagram, the longest unsent first.
/// @ingroup wire
struct Gossip {
  std::uint64_t config_version = 0;
  std::vector<DomainSummary> summaries;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(config_version, summaries);
  }
};

/// @brief One datagram between hosts.
/// @ingroup wire
struct StateMessage {
  SeatIndex sender;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  HybridTime time;
  std::variant<Heartbeat, Gossip> body;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(sender, incarnation, sequence, time, body);
  }
};

}  // namespace pathcleat
