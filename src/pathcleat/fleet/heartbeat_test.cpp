// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/heartbeat.hpp"

#include <criterion/criterion.h>

#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>

#include "pathcleat/core/binary_codec.hpp"
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

}  // namespace
}  // namespace pathcleat
