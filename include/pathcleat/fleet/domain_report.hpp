// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <algorithm>
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

/// @brief A hash of a host's name and incarnation: identifies one incarnation
/// of a host in 8 bytes.
/// @ingroup fleet
std::uint64_t IncarnationId(const HostInfo& host);

/// @brief A statement by one failure domain that it received a heartbeat of one
/// of its hosts.
/// @ingroup fleet
struct MemberObservation {
  std::uint64_t id = 0;      ///< IncarnationId
  std::uint16_t age_ms = 0;  ///< of the last heartbeat, at most 16,383 ms
  bool leaving = false;
  bool isolated = false;  ///< the host reaches no upstream
  /// See LoadStepControl. Encoded after the report, two bits a member.
  std::uint8_t load_step = 0;

  // The age and the flags share two bytes, as every byte of an observation is
  // sent to every host of the fleet.
  template <class Archive>
  void save(Archive& archive) const {  // NOLINT: named by cereal
    const unsigned flags =
        (leaving ? kLeavingFlag : 0U) | (isolated ? kIsolatedFlag : 0U);
    const unsigned age = std::min<unsigned>(age_ms, kMaxAgeMs);
    archive(id, static_cast<std::uint16_t>(age | flags));
  }
  template <class Archive>
  void load(Archive& archive) {  // NOLINT: named by cereal
    std::uint16_t age_and_flags = 0;
    archive(id, age_and_flags);
    age_ms = age_and_flags & kMaxAgeMs;
    leaving = (age_and_flags & kLeavingFlag) != 0;
    isolated = (age_and_flags & kIsolatedFlag) != 0;
  }

 private:
  static constexpr unsigned kLeavingFlag = 0x8000;
  // To a host of an older version, which reads this flag as part of the age, an
  // isolated host looks silent.
  static constexpr unsigned kIsolatedFlag = 0x4000;
  static constexpr unsigned kMaxAgeMs = 0x3fff;
};

/// @brief Hosts of a failure domain that have the same versions in force.
/// `versions.config_age_ms` is the largest configuration age among them,
/// `versions.store_answer_ages` holds the smallest ages.
/// @ingroup fleet
struct MemberGroup {
  HostVersions versions;
  std::vector<MemberObservation> members;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(versions, members);
  }
};

/// @brief The report of one failure domain on its hosts, sent to the other
/// domains: the hosts from which heartbeats arrived, and the time since each
/// heartbeat. A host that is missing in a report does not count as dead at
/// once: the host times out when its last reported heartbeat is too old.
/// @ingroup fleet
struct DomainReport {
  std::string domain;  ///< domain of the reported hosts
  HybridTime time;
  /// Whether the receiver must forward the report within its own domain.
  bool forward_to_domain = false;
  std::vector<MemberGroup> groups;
  std::vector<HostInfo> host_infos;  ///< complete records of a few hosts
  RolloutTallies rollout_tallies;  ///< of all hosts of the domain; in the first
                                   ///< report of a round

  template <class Archive>
  void serialize(Archive& archive) {
    archive(domain, time, forward_to_domain, groups, host_infos,
            rollout_tallies);
  }
};

/// @brief Encodes a report (cereal, portable binary). The capacities of
/// `host_infos`, the load steps and the ages of the store's answers follow if
/// there are any; hosts of an older version ignore these bytes.
/// @ingroup fleet
std::string EncodeDomainReport(const DomainReport& report);

/// @brief Decodes a report; `std::nullopt` if the bytes are not a report.
/// @ingroup fleet
std::optional<DomainReport> DecodeDomainReport(std::string_view bytes);

}  // namespace pathcleat
