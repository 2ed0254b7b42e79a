// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/domain_report.hpp"

#include <algorithm>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "pathcleat/core/binary_codec.hpp"
#include "pathcleat/core/fixed_number.hpp"
#include "pathcleat/core/hash.hpp"
#include "pathcleat/fleet/capacity_codec.hpp"
#include "pathcleat/fleet/load_step_control.hpp"

namespace pathcleat {
namespace {

constexpr unsigned kStepBits = 2;
constexpr std::size_t kStepsPerByte = 4;
static_assert(kMaxLoadStep < 1U << kStepBits);
// Precede the capacities of the host records and the load steps of the members,
// each in the order of the report.
constexpr char kCapacitiesMark = 'C';
constexpr char kStepsMark = 'S';
// Precedes the ages of the store's answers, in the order of the groups.
constexpr char kAnswerAgesMark = 'A';

void AppendCapacities(const DomainReport& report, std::string& bytes) {
  const auto& infos = report.host_infos;
  if (std::none_of(infos.begin(), infos.end(), [](const HostInfo& host) {
        return host.capacity.IsStated();
      })) {
    return;
  }
  bytes += kCapacitiesMark;
  for (const HostInfo& host : infos) {
    AppendCapacity(host.capacity, bytes);
  }
}

void AppendLoadSteps(const DomainReport& report, std::string& bytes) {
  std::string steps;
  unsigned sum = 0;
  std::size_t index = 0;
  for (const MemberGroup& group : report.groups) {
    for (const MemberObservation& member : group.members) {
      const std::size_t place = index++ % kStepsPerByte;
      if (place == 0) {
        steps += '\0';
      }
      const unsigned step = std::min(member.load_step, kMaxLoadStep);
      steps.back() =
          static_cast<char>(static_cast<unsigned char>(steps.back()) |
                            step << (place * kStepBits));
      sum += step;
    }
  }
  if (sum > 0) {
    bytes += kStepsMark + steps;
  }
}

void TakeLoadSteps(std::string_view& bytes, DomainReport& report) {
  std::size_t index = 0;
  for (MemberGroup& group : report.groups) {
    for (MemberObservation& member : group.members) {
      const std::size_t byte = index / kStepsPerByte;
      const std::size_t place = index++ % kStepsPerByte;
      if (byte >= bytes.size()) {
        break;
      }
      member.load_step = static_cast<std::uint8_t>(
          static_cast<unsigned char>(bytes[byte]) >> (place * kStepBits) &
          kMaxLoadStep);
    }
  }
  const std::size_t used = (index + kStepsPerByte - 1) / kStepsPerByte;
  bytes.remove_prefix(std::min(used, bytes.size()));
}

void AppendAnswerAges(const DomainReport& report, std::string& bytes) {
  const auto& groups = report.groups;
  if (std::none_of(groups.begin(), groups.end(), [](const MemberGroup& group) {
        return group.versions.store_answer_ages.IsAnyKnown();
      })) {
    return;
  }
  bytes += kAnswerAgesMark;
  for (const MemberGroup& group : groups) {
    group.versions.store_answer_ages.AppendTo(bytes);
  }
}

}  // namespace

std::uint64_t IncarnationId(const HostInfo& host) {
  return MixHashes(StableHash(host.name), host.incarnation);
}

std::string EncodeDomainReport(const DomainReport& report) {
  std::string bytes = EncodeBinary(report);
  AppendCapacities(report, bytes);
  AppendLoadSteps(report, bytes);
  AppendAnswerAges(report, bytes);
  return bytes;
}

std::optional<DomainReport> DecodeDomainReport(std::string_view bytes) {
  std::size_t used = 0;
  auto report = DecodeBinary<DomainReport>(bytes, &used);
  if (!report || !std::all_of(report->host_infos.begin(),
                              report->host_infos.end(), IsInRange)) {
    return std::nullopt;
  }
  std::string_view rest = bytes.substr(std::min(used, bytes.size()));
  if (TakeMark(kCapacitiesMark, rest)) {
    for (HostInfo& host : report->host_infos) {
      TakeCapacity(rest, host.capacity);
    }
  }
  if (TakeMark(kStepsMark, rest)) {
    TakeLoadSteps(rest, *report);
  }
  if (TakeMark(kAnswerAgesMark, rest)) {
    for (MemberGroup& group : report->groups) {
      group.versions.store_answer_ages.TakeFrom(rest);
    }
  }
  return report;
}

}  // namespace pathcleat
