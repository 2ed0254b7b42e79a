// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/heartbeat.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "mutated_bytes.hpp"
#include "pathcleat/core/binary_codec.hpp"
#include "pathcleat/fleet/capacity_codec.hpp"
#include "pathcleat/fleet/domain_report.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

Heartbeat MakeHeartbeat(bool isolated) {
  Heartbeat heartbeat;
  heartbeat.host.name = "host";
  heartbeat.host.isolated = isolated;
  heartbeat.versions.config = 7;
  return heartbeat;
}

Test(heartbeat, tells_whether_the_host_is_isolated) {
  for (const bool isolated : {false, true}) {
    const auto decoded =
        DecodeHeartbeat(EncodeHeartbeat(MakeHeartbeat(isolated)));
    cr_assert(decoded.has_value());
    cr_assert_eq(decoded->host.isolated, isolated);
    cr_assert_eq(decoded->versions.config, 7U);
  }
}

// Guards against hosts of the version before that cannot read heartbeats, or
// are not read, while a fleet is upgraded host by host.
Test(heartbeat, is_read_by_hosts_that_do_not_know_isolation) {
  const std::string isolated = EncodeHeartbeat(MakeHeartbeat(true));
  const auto by_older_host = DecodeBinary<Heartbeat>(isolated);
  cr_assert(by_older_host.has_value());
  cr_assert_eq(by_older_host->versions.config, 7U);
  const std::string by_sender = EncodeHeartbeat(MakeHeartbeat(false));
  cr_assert_eq(by_sender, EncodeBinary(MakeHeartbeat(false)));
}

Heartbeat WithCapacity(Heartbeat heartbeat) {
  heartbeat.host.capacity = {0.5, 8'192};
  heartbeat.host.utilization = 0.6;
  heartbeat.host.load_step = 2;
  return heartbeat;
}

Test(heartbeat, tells_capacity_utilization_and_load_step) {
  for (const bool isolated : {false, true}) {
    const auto decoded =
        DecodeHeartbeat(EncodeHeartbeat(WithCapacity(MakeHeartbeat(isolated))));
    cr_assert(decoded.has_value());
    cr_assert_eq(decoded->host.isolated, isolated);
    cr_assert_float_eq(decoded->host.capacity.cpu_cores, 0.5, 1e-9);
    cr_assert_eq(decoded->host.capacity.max_descriptors, 8'192U);
    cr_assert_float_eq(decoded->host.utilization, 0.6, 0.01);
    cr_assert_eq(decoded->host.load_step, 2);
  }
}

// Guards against hosts of the two versions before that misread heartbeats with
// a capacity: the older one ignores all bytes after a heartbeat, the newer one
// reads a mark of isolation directly after it.
Test(heartbeat, with_a_capacity_is_read_by_hosts_that_do_not_know_it) {
  for (const bool isolated : {false, true}) {
    const Heartbeat plain = MakeHeartbeat(isolated);
    const std::string bytes = EncodeHeartbeat(WithCapacity(plain));
    std::size_t used = 0;
    const auto by_older_host = DecodeBinary<Heartbeat>(bytes, &used);
    cr_assert(by_older_host.has_value());
    cr_assert_eq(by_older_host->versions.config, 7U);
    cr_assert_lt(used, bytes.size());
    cr_assert_eq(bytes[used] == 'I', isolated);
    cr_assert_eq(bytes.size() - EncodeHeartbeat(plain).size(), 9U);
  }
}

// Guards against a capacity that is read from a part of its bytes.
Test(heartbeat, cut_short_after_the_capacity_mark_states_no_capacity) {
  const std::string bytes = EncodeHeartbeat(WithCapacity(MakeHeartbeat(false)));
  for (std::size_t cut = 1; cut < 9; ++cut) {
    const auto decoded =
        DecodeHeartbeat(std::string_view(bytes).substr(0, bytes.size() - cut));
    cr_assert(decoded.has_value());
    cr_assert_not(decoded->host.capacity.IsStated());
  }
}

DomainReport MakeReport(std::size_t members, bool with_capacity) {
  DomainReport report;
  report.domain = "domain";
  MemberGroup group;
  for (std::size_t i = 0; i < members; ++i) {
    MemberObservation member;
    member.id = i;
    member.load_step = with_capacity ? i % 4 : 0;
    group.members.push_back(member);
  }
  report.groups = {group, group};
  HostInfo host;
  host.name = "host";
  report.host_infos = {host, host};
  if (with_capacity) {
    report.host_infos[1].capacity = {0.1, 4'100};
  }
  return report;
}

// Guards against capacities and load steps that reach only the own failure
// domain, and against members that get the step of another one.
Test(domain_report, carries_capacities_and_load_steps) {
  for (const std::size_t members : {0, 1, 3, 4, 5, 33}) {
    const DomainReport report = MakeReport(members, true);
    const auto decoded = DecodeDomainReport(EncodeDomainReport(report));
    cr_assert(decoded.has_value());
    cr_assert_not(decoded->host_infos[0].capacity.IsStated());
    cr_assert_float_eq(decoded->host_infos[1].capacity.cpu_cores, 0.1, 1e-9);
    cr_assert_eq(decoded->host_infos[1].capacity.max_descriptors, 4'100U);
    for (std::size_t g = 0; g < 2; ++g) {
      for (std::size_t i = 0; i < members; ++i) {
        cr_assert_eq(decoded->groups[g].members[i].load_step, i % 4);
      }
    }
  }
}

// Guards against reports that grow where no host states a capacity, and
// against hosts of the version before that cannot read reports.
Test(domain_report, is_read_by_hosts_that_do_not_know_capacities) {
  const DomainReport plain = MakeReport(4, false);
  cr_assert_eq(EncodeDomainReport(plain), EncodeBinary(plain));
  const std::string bytes = EncodeDomainReport(MakeReport(4, true));
  const auto by_older_host = DecodeBinary<DomainReport>(bytes);
  cr_assert(by_older_host.has_value());
  cr_assert_eq(by_older_host->groups[1].members.size(), 4U);
  // Two records with 6 bytes each, eight members with two bits each, two marks.
  cr_assert_eq(bytes.size() - EncodeBinary(plain).size(), 16U);
}

Test(domain_report, any_bytes_after_a_report_are_decoded_or_ignored) {
  cr_assert(Holds("decoding a changed end never crashes", [] {
    std::string bytes = EncodeDomainReport(MakeReport(5, false));
    bytes +=
        *rc::gen::container<std::string>(rc::gen::inRange<char>(-128, 127));
    RC_ASSERT(DecodeDomainReport(bytes).has_value());
  }));
}

// Guards against hosts that cannot read the rows of another version.
Test(host_row, is_read_with_and_without_a_capacity) {
  HostInfo host;
  host.name = "host";
  cr_assert_eq(EncodeHostRow(host), EncodeBinary(host));
  cr_assert_not(DecodeHostRow(EncodeHostRow(host))->capacity.IsStated());
  host.capacity = {0.5, 8'192};
  const std::string row = EncodeHostRow(host);
  cr_assert_float_eq(DecodeHostRow(row)->capacity.cpu_cores, 0.5, 1e-9);
  cr_assert_eq(DecodeBinary<HostInfo>(row)->name, "host");
  cr_assert_not(DecodeHostRow("?").has_value());
}

Test(heartbeat, property_observation_keeps_age_and_flags) {
  cr_assert(Holds("an observation keeps its age and flags", [] {
    MemberObservation observation;
    observation.id = *rc::gen::arbitrary<std::uint64_t>();
    observation.age_ms = *rc::gen::inRange<std::uint16_t>(0, 16'384);
    observation.leaving = *rc::gen::arbitrary<bool>();
    observation.isolated = *rc::gen::arbitrary<bool>();
    const auto decoded =
        DecodeBinary<MemberObservation>(EncodeBinary(observation));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->id == observation.id);
    RC_ASSERT(decoded->age_ms == observation.age_ms);
    RC_ASSERT(decoded->leaving == observation.leaving);
    RC_ASSERT(decoded->isolated == observation.isolated);
  }));
}

// Guards against an old observation whose age runs into the flags.
Test(heartbeat, observation_of_a_great_age_has_no_flags) {
  MemberObservation observation;
  observation.age_ms = 40'000;
  const auto decoded =
      DecodeBinary<MemberObservation>(EncodeBinary(observation));
  cr_assert_eq(decoded->age_ms, 16'383);
  cr_assert_not(decoded->leaving);
  cr_assert_not(decoded->isolated);
}

// Guards against ages that are lost or read from the wrong place after the
// other parts of a heartbeat, each of which may be missing.
Test(heartbeat, tells_the_ages_of_the_stores_answers) {
  for (const bool isolated : {false, true}) {
    for (const bool states_capacity : {false, true}) {
      Heartbeat heartbeat = MakeHeartbeat(isolated);
      if (states_capacity) {
        heartbeat = WithCapacity(heartbeat);
      }
      heartbeat.versions.store_answer_ages.Set(SourceTopic::kOrders,
                                               Duration(1'234'000));
      const auto decoded = DecodeHeartbeat(EncodeHeartbeat(heartbeat));
      cr_assert(decoded.has_value());
      cr_assert(decoded->versions.store_answer_ages ==
                heartbeat.versions.store_answer_ages);
      cr_assert_not(
          decoded->versions.store_answer_ages.Of(SourceTopic::kUpstreams)
              .has_value());
      cr_assert_eq(decoded->host.isolated, isolated);
      cr_assert_eq(decoded->host.capacity.IsStated(), states_capacity);
    }
  }
}

// Guards against a host of the version before that cannot read the heartbeat.
Test(heartbeat, is_read_by_hosts_that_do_not_know_answer_ages) {
  Heartbeat heartbeat = MakeHeartbeat(false);
  heartbeat.versions.store_answer_ages.Set(SourceTopic::kOrders, Duration(0));
  const auto by_older_host =
      DecodeBinary<Heartbeat>(EncodeHeartbeat(heartbeat));
  cr_assert(by_older_host.has_value());
  cr_assert_eq(by_older_host->versions.config, 7U);
}

// The report of a domain states for each group the age of the youngest answer.
Test(domain_report, tells_the_ages_of_the_stores_answers) {
  for (const bool has_load_steps : {false, true}) {
    DomainReport report;
    for (const int seconds : {5, 2}) {
      MemberGroup group;
      group.versions.config = static_cast<std::uint64_t>(seconds);
      group.versions.store_answer_ages.Set(SourceTopic::kUpstreams,
                                           std::chrono::seconds(seconds));
      group.members.resize(3);
      group.members.front().load_step = has_load_steps ? 2 : 0;
      report.groups.push_back(group);
    }
    const auto decoded = DecodeDomainReport(EncodeDomainReport(report));
    cr_assert(decoded.has_value());
    for (std::size_t i = 0; i < report.groups.size(); ++i) {
      cr_assert(decoded->groups[i].versions.store_answer_ages ==
                report.groups[i].versions.store_answer_ages);
      cr_assert_eq(decoded->groups[i].members.front().load_step,
                   report.groups[i].members.front().load_step);
    }
  }
}

Test(store_answer_ages, grow_with_time_and_keep_the_younger) {
  StoreAnswerAges ages;
  ages.Advance(Duration(1'000'000));
  cr_assert_not(ages.IsAnyKnown());
  ages.Set(SourceTopic::kOrders, Duration(400'000));
  ages.Advance(Duration(200'000));
  StoreAnswerAges younger;
  younger.Set(SourceTopic::kOrders, Duration(100'000));
  ages.TakeYounger(younger);
  cr_assert_eq(ages.Of(SourceTopic::kOrders)->count(), 100'000);
  cr_assert_not(ages.Of(SourceTopic::kUpstreams).has_value());
  ages.Advance(std::chrono::hours(1));
  cr_assert_eq(ages.Of(SourceTopic::kOrders)->count(), 65'534'000);
}

Heartbeat FullHeartbeat() {
  Heartbeat heartbeat = MakeHeartbeat(true);
  heartbeat.host.link_mbps = 1'000;
  heartbeat.host.capacity = {4, 1'024};
  heartbeat.rollout_tallies["s"].failures[3].new_version = {7, 2};
  heartbeat.versions.store_answer_ages.Set(SourceTopic::kOrders, Duration(5));
  return heartbeat;
}

bool IsConsistent(const RolloutTallies& tallies) {
  return std::all_of(tallies.begin(), tallies.end(), [](const auto& entry) {
    const auto& failures = entry.second.failures;
    return std::all_of(
        failures.begin(), failures.end(), [](const StratumCounts& counts) {
          return counts.new_version.events <= counts.new_version.total &&
                 counts.other_versions.events <= counts.other_versions.total;
        });
  });
}

// Guards against bytes of another host that end this one, or that bring numbers
// into its tables with which later sums are useless.
Test(heartbeat, mutated_bytes_give_values_in_range_or_are_rejected) {
  const std::string encoded = EncodeHeartbeat(FullHeartbeat());
  cr_assert(DecodeHeartbeat(encoded).has_value());
  cr_assert(Holds(
      "a decoded heartbeat is in range",
      [&encoded] {
        const auto decoded = DecodeHeartbeat(MutatedBytes(encoded));
        if (decoded) {
          RC_ASSERT(IsInRange(decoded->host));
          RC_ASSERT(IsConsistent(decoded->rollout_tallies));
        }
      },
      3'000));
}

// As heartbeat, for the reports between failure domains.
Test(domain_report, mutated_bytes_give_values_in_range_or_are_rejected) {
  DomainReport report;
  report.domain = "d";
  report.groups.resize(2);
  report.groups.front().members.resize(3);
  report.host_infos = {FullHeartbeat().host};
  report.rollout_tallies = FullHeartbeat().rollout_tallies;
  const std::string encoded = EncodeDomainReport(report);
  cr_assert(DecodeDomainReport(encoded).has_value());
  cr_assert(Holds(
      "a decoded report is in range",
      [&encoded] {
        const auto decoded = DecodeDomainReport(MutatedBytes(encoded));
        if (decoded) {
          RC_ASSERT(std::all_of(decoded->host_infos.begin(),
                                decoded->host_infos.end(), IsInRange));
          RC_ASSERT(IsConsistent(decoded->rollout_tallies));
        }
      },
      3'000));
}

// Guards against a host's row or message whose link capacity makes the shares
// of all hosts useless.
Test(host_row, link_capacity_out_of_range_is_rejected) {
  for (const double link : {-1.0, 1e10, 1e308}) {
    Heartbeat heartbeat = FullHeartbeat();
    heartbeat.host.link_mbps = link;
    cr_assert_not(DecodeHostRow(EncodeHostRow(heartbeat.host)).has_value());
    cr_assert_not(DecodeHeartbeat(EncodeHeartbeat(heartbeat)).has_value());
  }
}

// Guards against counts of another host that end in a loop over 2^32 numbers.
Test(heartbeat, counts_out_of_range_are_zero) {
  for (const ResponseCounts counts :
       {ResponseCounts{1, 2}, ResponseCounts{0xffffffff, 0xffffffff}}) {
    Heartbeat heartbeat = FullHeartbeat();
    heartbeat.rollout_tallies["s"].failures[3].new_version = counts;
    const auto decoded = DecodeHeartbeat(EncodeHeartbeat(heartbeat));
    cr_assert(decoded.has_value());
    const RolloutTally& tally = decoded->rollout_tallies.at("s");
    cr_assert_eq(tally.failures[3].new_version.total, 0U);
  }
}

}  // namespace
}  // namespace pathcleat
