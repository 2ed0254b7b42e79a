// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pathcleat/core/hybrid_clock.hpp"
#include "pathcleat/fleet/host_info.hpp"
#include "pathcleat/fleet/host_versions.hpp"
#include "pathcleat/rollouts/rollout_tally.hpp"

namespace pathcleat {

/// @brief Names one incarnation of a host in few bytes.
/// @ingroup fleet
std::uint64_t IncarnationId(const HostInfo& host);

/// @brief That a host was heard.
/// @ingroup fleet
struct MemberObservation {
  std::uint64_t id = 0;      ///< IncarnationId
  std::uint16_t age_ms = 0;  ///< since its last heartbeat; 32,767 at most
  bool leaving = false;

  // The age and the flag share two bytes: each byte is told to each host.
  template <class Archive>
  void save(Archive& archive) const {  // NOLINT: named by cereal
    const unsigned flag = leaving ? kLeaving : 0U;
    archive(id, static_cast<std::uint16_t>((age_ms & kMostAge) | flag));
  }
  template <class Archive>
  void load(Archive& archive) {  // NOLINT: named by cereal
    std::uint16_t age_and_flag = 0;
    archive(id, age_and_flag);
    age_ms = age_and_flag & kMostAge;
    leaving = (age_and_flag & kLeaving) != 0;
  }

 private:
  static constexpr unsigned kLeaving = 0x8000;
  static constexpr unsigned kMostAge = 0x7fff;
};

/// @brief Hosts that have come equally far. The age of their configuration is
/// that of the one that has had it longest.
/// @ingroup fleet
struct MemberGroup {
  HostVersions versions;
  std::vector<MemberObservation> members;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(versions, members);
  }
};

/// @brief What one failure domain tells another of its hosts: who was heard
/// and how long ago. A host that is not named is not said to be gone: it falls
/// silent when nobody names it any more.
/// @ingroup fleet
struct DomainReport {
  std::string domain;  ///< whose hosts these are
  HybridTime time;
  bool forward_to_domain = false;  ///< the receiver is to tell its own domain
  std::vector<MemberGroup> groups;
  std::vector<HostInfo> host_infos;  ///< a few hosts in full
  RolloutTallies
      rollout_tallies;  ///< of all its hosts; in the round's first report

  template <class Archive>
  void serialize(Archive& archive) {
    archive(domain, time, forward_to_domain, groups, host_infos,
            rollout_tallies);
  }
};

/// @brief A report's bytes (cereal, portable binary).
/// @ingroup fleet
std::string EncodeDomainReport(const DomainReport& report);

/// @brief Reads a report; nothing if the bytes are none.
/// @ingroup fleet
std::optional<DomainReport> DecodeDomainReport(std::string_view bytes);

}  // namespace pathcleat
